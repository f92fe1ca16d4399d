"""Programs that serve routes: the entry before the callers, and the control role behind it."""
