"""What to do with the streams of an upstream that is leaving."""
