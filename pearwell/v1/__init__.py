"""Generated gRPC code of the schema in proto/pearwell/v1."""
