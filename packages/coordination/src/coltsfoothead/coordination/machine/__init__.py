"""Host of the deterministic state machines that are applied from a replicated log."""
