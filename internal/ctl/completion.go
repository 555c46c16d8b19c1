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

// bashHead and bashTail enclose the cases of the completion script, which map the command
// typed so far to the words that may follow.
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

// Run prints the completion script, which is generated from the command line's definition.
func (*completionCommand) Run(env *Env) error {
	cases := make(map[string][]string)
	collectWords(env.model.Node, "", cases)
	paths := make([]string, 0, len(cases))
	for path := range cases {
		paths = append(paths, path)
	}
	// Longer paths come first: the patterns match prefixes, since arguments may follow a command.
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

// collectWords adds to cases, for a command and its subcommands, the flags and subcommands
// that may follow. The key is the path of the command, such as "customer create".
func collectWords(node *kong.Node, path string, cases map[string][]string) {
	var words []string
	for _, group := range node.AllFlags(true) {
		for _, flag := range group {
			words = append(words, "--"+flag.Name)
		}
	}
	for _, child := range node.Children {
		words = append(words, child.Name)
		collectWords(child, strings.TrimSpace(path+" "+child.Name), cases)
	}
	cases[path] = words
}
