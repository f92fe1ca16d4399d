"""Life of accepted model requests: tokens from upstreams, delivery to callers."""
