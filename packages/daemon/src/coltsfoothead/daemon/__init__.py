"""The coltsfootheadd serving daemon."""
