package loomcache

const (
	// MaxTokens bounds the number of tokens of a part, a prompt or an output. Larger numbers
	// count as MaxTokens: sums of them, and their products with the time of a token, don't
	// overflow.
	MaxTokens = 1 << 24
	// MaxPartIDBytes bounds the ID of a part that is tracked.
	MaxPartIDBytes = 128
	// MaxParts bounds the tracked parts of one prompt, which are the leading ones.
	MaxParts = 128
)

// PromptPart is a part of a prompt that other prompts may have in common.
type PromptPart struct {
	ID     string
	Tokens int
}
