package docs_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
)

// declarations returns the names that the Go files of a package declare at top level. It ignores test files and reads the
// files of all build tags. Methods and fields have the form Type.Member.
func declarations(folder string) (map[string]bool, error) {
	files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
	if err != nil {
		return nil, err
	}
	declared := map[string]bool{}
	parsed := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		parsed++
		for _, declaration := range source.Decls {
			addDeclaration(declared, declaration)
		}
	}
	if parsed == 0 {
		return nil, fmt.Errorf("folder %s has no Go files outside tests", folder)
	}
	return declared, nil
}

// addDeclaration adds the names that a top-level declaration declares.
func addDeclaration(declared map[string]bool, declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		name := d.Name.Name
		if d.Recv != nil {
			name = typeName(d.Recv.List[0].Type) + "." + name
		}
		declared[name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			addSpec(declared, spec)
		}
	}
}

// addSpec adds the constants, variables or type of a declaration, and the members of a struct or interface type.
func addSpec(declared map[string]bool, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			declared[name.Name] = true
		}
	case *ast.TypeSpec:
		declared[s.Name.Name] = true
		switch u := s.Type.(type) {
		case *ast.StructType:
			addMembers(declared, s.Name.Name, u.Fields)
		case *ast.InterfaceType:
			addMembers(declared, s.Name.Name, u.Methods)
		}
	}
}

// addMembers adds the fields of a struct type or the methods of an interface type. An embedded type counts as a field.
func addMembers(declared map[string]bool, owner string, members *ast.FieldList) {
	for _, member := range members.List {
		for _, name := range member.Names {
			declared[owner+"."+name.Name] = true
		}
		if len(member.Names) == 0 {
			declared[owner+"."+typeName(member.Type)] = true
		}
	}
}

// typeName returns the name of a type without its package, pointer and type parameters, and "" for a type without a name.
func typeName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.IndexExpr:
		return typeName(e.X)
	case *ast.IndexListExpr:
		return typeName(e.X)
	}
	return ""
}
