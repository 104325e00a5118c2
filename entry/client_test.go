package entry

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/standin/engine"
)

// An OpenAI client library works with only the base URL and the key changed.
func TestOpenAIClient(t *testing.T) {
	e := startEntry(t)
	e.announce("engine-1", startEngine(t, "engine-1", failAfter(3)).URL)
	e.announce("engine-2", startEngine(t, "engine-2", failAfter(3)).URL)
	e.announce("engine-3", startEngine(t, "engine-3").URL)
	client := openai.NewClient(option.WithBaseURL(e.URL+"/v1"), option.WithAPIKey(testKey))
	const question = "what liner?"
	plain := strings.Join(engine.GenerateTokens(question, outputTokens), "")
	chat := strings.Join(engine.GenerateTokens("user: "+question+"\nassistant: ", outputTokens), "")
	completion := openai.CompletionNewParams{
		Model: testModel, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(question)},
		MaxTokens: openai.Int(outputTokens),
	}
	messages := openai.ChatCompletionNewParams{
		Model: testModel, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
		MaxCompletionTokens: openai.Int(outputTokens),
		StreamOptions:       openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}

	t.Run("completion", func(t *testing.T) {
		got, err := client.Completions.New(t.Context(), completion)
		require.NoError(t, err)
		require.Equal(t, plain, got.Choices[0].Text)
		require.Equal(t, finishLength, string(got.Choices[0].FinishReason))
		require.EqualValues(t, outputTokens, got.Usage.CompletionTokens)
	})
	t.Run("completion stream", func(t *testing.T) {
		stream := client.Completions.NewStreaming(t.Context(), completion)
		var text string
		for stream.Next() {
			for _, c := range stream.Current().Choices {
				text += c.Text
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, plain, text)
	})
	t.Run("chat", func(t *testing.T) {
		got, err := client.Chat.Completions.New(t.Context(), messages)
		require.NoError(t, err)
		require.Equal(t, chat, got.Choices[0].Message.Content)
		require.Equal(t, "assistant", string(got.Choices[0].Message.Role))
	})
	t.Run("chat stream", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), messages)
		var all openai.ChatCompletionAccumulator
		for stream.Next() {
			require.True(t, all.AddChunk(stream.Current()), "all events carry one ID")
		}
		require.NoError(t, stream.Err())
		require.Equal(t, chat, all.Choices[0].Message.Content)
		require.EqualValues(t, outputTokens, all.Usage.CompletionTokens)
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, testModel, page.Data[0].ID)
	})
}

func TestOpenAIClientErrors(t *testing.T) {
	e := startEntry(t)
	server := startEngine(t, "engine-1", respondStatus(http.StatusBadRequest, `{"error":{"message":"too long"}}`))
	e.announce("engine-1", server.URL)
	requestError := func(key, model string) *openai.Error {
		client := openai.NewClient(option.WithBaseURL(e.URL+"/v1"), option.WithAPIKey(key))
		_, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
			Model: openai.CompletionNewParamsModel(model), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("x")},
		})
		var typed *openai.Error
		require.True(t, errors.As(err, &typed), "%v", err)
		return typed
	}
	require.Equal(t, string(refusal.CodeUnauthorized), requestError("no-such-key", testModel).Code)
	require.Equal(t, string(refusal.CodeNotFound), requestError(testKey, "no-such-model").Code)
	refused := requestError(testKey, testModel)
	require.Equal(t, string(refusal.CodeInvalidRequest), refused.Code)
	require.Contains(t, refused.Message, "too long")
	require.EqualValues(t, 1, server.runs.Load(), "the library must not retry a non-retryable error")
}

// The client library retries by itself. A prompt refused as not run must
// succeed on the retry.
func TestOpenAIClientRetriesNotRun(t *testing.T) {
	e := startEntry(t)
	server := startEngine(t, "engine-1", respondStatus(http.StatusServiceUnavailable, ""))
	e.announce("engine-1", server.URL)
	client := openai.NewClient(option.WithBaseURL(e.URL+"/v1"), option.WithAPIKey(testKey))
	got, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: testModel, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("x")}, MaxTokens: openai.Int(2),
	})
	require.NoError(t, err)
	require.Equal(t, strings.Join(engine.GenerateTokens("x", 2), ""), got.Choices[0].Text)
}
