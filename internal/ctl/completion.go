package ctl

import (
	"fmt"
	"sort"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCommand struct {
	Shell string `arg:"" enum:"bash" default:"bash" help:"Shell: ${enum}."`
}

const bashHead = `# Completion of rhubarbctl. Load it with: source <(rhubarbctl completion bash)
_rhubarbctl() {
  local word=${COMP_WORDS[COMP_CWORD]} path="" i
  for ((i = 1; i < COMP_CWORD; i++)); do
    [[ ${COMP_WORDS[i]} == -* ]] || path+="${path:+ }${COMP_WORDS[i]}"
  done
  local words=""
  case "$path" in
`

const bashTail = `  esac
  COMPREPLY=($(compgen -W "$words" -- "$word"))
  [[ ${#COMPREPLY[@]} -gt 0 ]] || COMPREPLY=($(compgen -f -- "$word"))
}
complete -F _rhubarbctl rhubarbctl
`

// Run prints the script, made from the command line's own description.
func (*completionCommand) Run(env *Env) error {
	cases := make(map[string][]string)
	collect(env.model.Node, "", cases)
	paths := make([]string, 0, len(cases))
	for path := range cases {
		paths = append(paths, path)
	}
	// Longer paths first, since a command's arguments follow it.
	sort.Slice(paths, func(i, j int) bool {
		if len(paths[i]) != len(paths[j]) {
			return len(paths[i]) > len(paths[j])
		}
		return paths[i] < paths[j]
	})
	var b strings.Builder
	b.WriteString(bashHead)
	for _, path := range paths {
		pattern := fmt.Sprintf("%q*", path)
		if path == "" {
			pattern = "*"
		}
		fmt.Fprintf(&b, "    %s) words=%q ;;\n", pattern, strings.Join(cases[path], " "))
	}
	b.WriteString(bashTail)
	_, err := fmt.Fprint(env.Out, b.String())
	return err
}

func collect(node *kong.Node, path string, cases map[string][]string) {
	var words []string
	for _, group := range node.AllFlags(true) {
		for _, flag := range group {
			words = append(words, "--"+flag.Name)
		}
	}
	for _, child := range node.Children {
		words = append(words, child.Name)
		collect(child, strings.TrimSpace(path+" "+child.Name), cases)
	}
	cases[path] = words
}
