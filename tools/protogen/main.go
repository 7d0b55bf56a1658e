// Protogen generates the Go code of the protocol files given as arguments, next to them. Their paths are
// relative to the root of the repository, where it is run by:
//
//	go run -C tools ./protogen io/gossip/message/gossip.proto
//
// It compiles the files itself, so that no protoc has to be installed.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// plugins are the generators, which the go command runs from tools/go.mod.
var plugins = []string{"protoc-gen-go", "protoc-gen-go-grpc"}

func main() {
	if err := os.Chdir(".."); err != nil { // -C made tools the working directory
		fmt.Fprintf(os.Stderr, "protogen: %v\n", err)
		os.Exit(1)
	}
	for _, file := range os.Args[1:] {
		if err := generate(context.Background(), file); err != nil {
			fmt.Fprintf(os.Stderr, "protogen: %s: %v\n", file, err)
			os.Exit(1)
		}
	}
}

// generate writes the code of one file, which imports no others.
func generate(ctx context.Context, file string) (err error) {
	compiler := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}, SourceInfoMode: protocompile.SourceInfoStandard}
	compiled, err := compiler.Compile(ctx, file)
	if err != nil {
		return err
	}
	parameter := "paths=source_relative"
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file}, Parameter: &parameter, ProtoFile: []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(compiled[0])},
	})
	if err != nil {
		return err
	}
	for _, plugin := range plugins {
		if err := runPlugin(ctx, plugin, request); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
	}
	return nil
}

// runPlugin runs a generator and writes the files that it returns.
func runPlugin(ctx context.Context, plugin string, request []byte) (err error) {
	command := exec.CommandContext(ctx, "go", "tool", "-modfile=tools/go.mod", plugin)
	command.Stdin, command.Stderr = bytes.NewReader(request), os.Stderr
	output, err := command.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("%s", response.GetError())
	}
	for _, f := range response.GetFile() {
		if err := os.WriteFile(f.GetName(), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
