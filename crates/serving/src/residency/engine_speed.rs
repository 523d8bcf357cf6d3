use std::time::Duration;

use zinniahinge_types::EngineTimes;

/// Time for each prompt token before any was measured, milliseconds.
const INITIAL_PROMPT_TOKEN_MS: f64 = 0.026;

/// Time between two output tokens of one answer before any was measured, milliseconds.
const INITIAL_OUTPUT_TOKEN_MS: f64 = 5.5;

/// Number of tokens whose measured times weigh as much as all earlier ones: those of some dozens of requests.
const MEMORY_TOKENS: f64 = 20_000.0;

/// Largest ratio of a sample to the average, or of the average to a sample. A request that was preempted, or whose
/// engine stalled, takes a hundred times as long as others and says nothing about the engines' speed.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// How fast the engines of a service process requests, learned from the times that hosts measure.
///
/// Load pattern: deployments have engines of several kinds. With fixed times, a model on fast engines gets more replicas
/// than it needs, which displace other models, and one on slow engines too few.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    prompt_token_ms: f64,
    output_token_ms: f64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            prompt_token_ms: INITIAL_PROMPT_TOKEN_MS,
            output_token_ms: INITIAL_OUTPUT_TOKEN_MS,
        }
    }
}

impl EngineSpeed {
    /// Applies the times that one host measured.
    pub fn record(&mut self, times: &EngineTimes) {
        let EngineTimes {
            prompt_tokens,
            prompt_us,
            output_tokens,
            output_us,
            ..
        } = times;
        blend(&mut self.prompt_token_ms, *prompt_tokens, *prompt_us);
        blend(&mut self.output_token_ms, *output_tokens, *output_us);
    }

    /// Time that an answer of `tokens` takes from its first event to its last.
    pub fn output_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.output_token_ms / 1000.0)
    }

    /// Engine time that requests take, milliseconds. An engine produces the tokens of up to `slots` answers together.
    pub fn work_ms(&self, prompt_tokens: u64, output_tokens: u64, slots: u32) -> f64 {
        let output_token_ms = self.output_token_ms / f64::from(slots.max(1));
        prompt_tokens as f64 * self.prompt_token_ms + output_tokens as f64 * output_token_ms
    }
}

/// Moves a time for each token towards that of a sample, by the number of its tokens.
fn blend(token_ms: &mut f64, tokens: u64, time_us: u64) {
    if tokens == 0 {
        return;
    }
    let tokens = tokens as f64;
    let sample_ms = time_us as f64 / 1000.0 / tokens;
    let sample_ms = sample_ms.clamp(*token_ms / MAX_SAMPLE_RATIO, *token_ms * MAX_SAMPLE_RATIO);
    *token_ms += (sample_ms - *token_ms) * tokens / (tokens + MEMORY_TOKENS);
}
