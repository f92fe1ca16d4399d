"""The coltsfoothead command line for operators."""
