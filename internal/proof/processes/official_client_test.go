package processes

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/standin/engine"
	"github.com/pollencourse/pollencourse/internal/standin/world"
)

// smallLayout returns a layout with two engines, two servers of the bookings service and one of the prices service
// at each location.
func smallLayout(locations ...location) world.Layout {
	var l world.Layout
	for _, loc := range locations {
		z := world.Zone{Region: loc.region, AvailabilityZone: loc.zone}
		l.Engines = append(l.Engines, world.EngineGroup{Zone: z, Count: 2, Spec: engine.Spec{
			Serves: map[string]float64{"small@1": 0.95}, TimeToFirstToken: 2 * time.Millisecond, InterTokenLatency: time.Millisecond, Tokens: 10, Slots: 32,
		}})
		l.Bookings = append(l.Bookings,
			world.BookingGroup{Zone: z, Count: 2, Service: "bookings"},
			world.BookingGroup{Zone: z, Count: 1, Service: "prices"})
	}
	return l
}

// Without injected faults, the official OpenAI client must get complete answers, plain and streamed, from every
// daemon, and each answer must be charged.
func TestOfficialClientCompletesPlainAndStreamedRequests(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA, pwaniB), locations: []location{pwaniA, pwaniB}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	for _, d := range c.daemons {
		client := openai.NewClient(option.WithBaseURL("http://"+d.callerAddress+"/v1"), option.WithAPIKey(testAPIKey))
		params := openai.ChatCompletionNewParams{
			Model:    "auto",
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Draft a quote for 80 guests.")},
		}
		plain, err := client.Chat.Completions.New(context.Background(), params)
		require.NoError(t, err)
		require.Equal(t, "stop", plain.Choices[0].FinishReason)
		require.Len(t, strings.Fields(plain.Choices[0].Message.Content), 10)

		stream := client.Chat.Completions.NewStreaming(context.Background(), params)
		var acc openai.ChatCompletionAccumulator
		for stream.Next() {
			acc.AddChunk(stream.Current())
		}
		require.NoError(t, stream.Err())
		require.Equal(t, "stop", acc.Choices[0].FinishReason)
		require.Len(t, strings.Fields(acc.Choices[0].Message.Content), 10)
	}
	c.eventually(5*time.Second, "four charges are stored", func() bool { return len(c.charges().Charges) == 4 })
}
