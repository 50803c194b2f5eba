package glossary

// OnlyInTest is declared in a test file, to which a row cannot refer.
const OnlyInTest = 1
