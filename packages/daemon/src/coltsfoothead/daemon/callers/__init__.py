"""Handlers of callers' HTTP requests: model requests, service calls and resumed answers."""
