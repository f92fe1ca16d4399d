"""Prediction of output lengths."""
