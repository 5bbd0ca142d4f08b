package conf

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"corianderwing"
)

const (
	minSecret = 16
	// maxDepth limits the nesting of brackets, and the dashes in one line. The
	// YAML parser takes quadratic time in the depth: 22 s for 100,000 brackets.
	maxDepth = 64

	idRule     = "1 to 64 lower-case letters, digits, dots and hyphens, starting with a letter or digit"
	secretRule = "text of 16 bytes or more"
)

// Parse validates the content of a settings file. name is used in messages only.
// Parse does not read the secret file. The error is of type Problems and holds
// every error found.
func Parse(name string, data []byte) (*Config, error) {
	r := &reader{file: name}
	cfg := &Config{Name: name, Log: Log{Level: "info"}}
	if body := r.document(data); body != nil {
		if root := r.object(body, position{token: body.GetToken()}); root != nil {
			p := &decoder{object: root, cfg: cfg, positions: positions{}}
			p.all()
			root.reportUnknown()
			p.check()
		}
	}
	if len(r.problems) > 0 {
		return nil, Problems(sorted(r.problems))
	}
	cfg.Warnings = sorted(r.warnings)
	return cfg, nil
}

// document returns the root node of the single YAML document in the file.
func (r *reader) document(data []byte) ast.Node {
	if len(data) > maxSize {
		r.fail(position{}, fmt.Sprintf("%d bytes", maxSize), "file has %d bytes", len(data))
		return nil
	}
	tokens := lexer.Tokenize(string(data))
	if tk := tooDeep(tokens); tk != nil {
		r.fail(position{token: tk}, fmt.Sprintf("%d levels", maxDepth), "nested too deeply")
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.syntax(err)
		return nil
	}
	var body ast.Node
	for _, doc := range file.Docs {
		switch {
		case doc.Body == nil:
		case body == nil:
			body = doc.Body
		default:
			r.fail(position{token: doc.Body.GetToken()}, "one document", "second document in the file")
		}
	}
	if body == nil {
		r.fail(position{}, "a mapping of fields", "file is empty")
	}
	return body
}

func (r *reader) syntax(err error) {
	var e yaml.Error
	if errors.As(err, &e) {
		r.fail(position{token: e.GetToken()}, "YAML 1.2", "%s", e.GetMessage())
		return
	}
	r.fail(position{}, "YAML 1.2", "%v", err)
}

// tooDeep returns the first token that is nested deeper than maxDepth, or nil.
func tooDeep(tokens token.Tokens) *token.Token {
	depth, dashes, line := 0, 0, 0
	for _, tk := range tokens {
		if tk.Position.Line != line {
			line = tk.Position.Line
			dashes = 0
		}
		switch tk.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.SequenceEntryType, token.MappingKeyType:
			dashes++
		}
		if depth > maxDepth || dashes > maxDepth {
			return tk
		}
	}
	return nil
}

// decoder fills a Config from the root mapping of a file. It records where ids
// are declared, so that check can report their positions.
type decoder struct {
	*object
	cfg       *Config
	positions positions
	refs      []reference
}

// positions maps a declaration, such as "domain/north-a", to its position.
type positions map[string]position

func (p *decoder) all() {
	p.secret()
	p.objects("regions", p.region)
	p.objects("domains", p.domain)
	p.objects("links", p.link)
	p.objects("groups", p.group)
	p.objects("processes", p.process)
	p.child("seed", p.seed)
	p.objects("stubs", p.stub)
	p.child("log", p.log)
}

func (p *decoder) secret() {
	secret, given := p.text("secret", secretRule)
	file, fromFile := p.text("secretfile", "a path")
	switch {
	case given && fromFile:
		p.fail(p.at("secretfile"), "one of secret and secretfile", "secret is set as well")
	case fromFile && file == "":
		p.fail(p.at("secretfile"), "a path", "is empty")
	case given && len(secret) < minSecret:
		p.fail(p.at("secret"), secretRule, "has %d bytes", len(secret))
	case !given && !fromFile && p.values["secret"] == nil && p.values["secretfile"] == nil:
		p.fail(p.at("secret"), secretRule+", or the field secretfile", "field is missing")
	}
	p.cfg.Secret = []byte(secret)
	p.cfg.SecretFile = file
}

// id reads a required id and checks its format.
func (o *object) id(name string) string {
	if !o.require(name, idRule) {
		return ""
	}
	s, ok := o.scalar(o.values[name], o.at(name), idRule)
	if ok && !corianderwing.ValidID(s) {
		o.fail(o.at(name), idRule, "%q is no id", s)
		return ""
	}
	return s
}

// ids reads a list of distinct ids that refer to declarations of the given
// kind.
func (p *decoder) ids(o *object, name, kind string) []string {
	var all []string
	seen := map[string]bool{}
	o.list(name, func(n ast.Node, at position) {
		s, ok := o.scalar(n, at, idRule)
		switch {
		case !ok:
		case !corianderwing.ValidID(s):
			o.fail(at, idRule, "%q is no id", s)
		case seen[s]:
			o.fail(at, "each id once", "%q occurs twice", s)
		default:
			seen[s] = true
			p.refs = append(p.refs, reference{at, kind, s})
			all = append(all, s)
		}
	})
	return all
}

// declare reads the id that an item declares and reports duplicates.
func (p *decoder) declare(o *object, kind, name string) string {
	s := o.id(name)
	if s == "" {
		return ""
	}
	key := kind + "/" + s
	if first, ok := p.positions[key]; ok {
		p.fail(o.at(name), "each id once", "%q is already declared as %s", s, first.field)
		return s
	}
	p.positions[key] = position{o.at(name).token, o.field}
	return s
}

func convert[T, S ~string](from []S) []T {
	to := make([]T, len(from))
	for i, s := range from {
		to[i] = T(s)
	}
	return to
}
