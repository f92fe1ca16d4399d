"""gRPC links between the processes of one cluster; needs the package extra ``grpc``."""
