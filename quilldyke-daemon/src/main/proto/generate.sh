#!/bin/sh
# Remakes src/generated/java from instance.proto. Needs protoc 4.36.2 as PROTOC and
# protoc-gen-grpc-java 1.82.2 as PROTOC_GEN_GRPC (both on Maven Central, classifier linux-x86_64).
set -eu
cd "$(dirname "$0")"
out=../../generated/java
rm -rf "$out"
mkdir -p "$out"
"$PROTOC" --plugin=protoc-gen-grpc-java="$PROTOC_GEN_GRPC" \
    --java_out="$out" --grpc-java_out="$out" instance.proto
