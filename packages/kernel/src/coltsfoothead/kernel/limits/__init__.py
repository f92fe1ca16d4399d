"""Admission: fair queues, concurrency limits and early refusal."""
