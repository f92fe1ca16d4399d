"""gRPC links between the processes of one cluster; needs the extra ``grpc``."""
