// Package peerpb contains the generated code of the messages between proxies. `make generate`
// regenerates it with protoc and the plugins protoc-gen-go and protoc-gen-go-drpc.
package peerpb
