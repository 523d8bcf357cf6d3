use sha2::Digest;

/// Key of the client account in [`bench_document`].
pub const BENCH_KEY: &str = "zk-bench-key";

/// Service and host list group of [`bench_document`].
pub const BENCH_GROUP: &str = "bench-llm";

/// Document of one service with `models` small models (`model-0` and so on) and one client account
/// whose rate is never the limit. `slots` bounds the requests in flight per replica.
pub fn bench_document(models: usize, slots: u32) -> String {
    let digest: String = sha2::Sha256::digest(BENCH_KEY)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let mut text = format!(
        r#"service = "{BENCH_GROUP}"
kind = "models"
group = "{BENCH_GROUP}"
fencing = true

[weight_store]
loads_per_second = 4
at_once = 4
adapters_at_once = 30

[[routes]]
prefix = "/v1/chat/completions"
methods = ["POST"]
access = "keyed"
idempotent = true
class = "normal"
deadline_ms = 60000

[[accounts]]
name = "bench"
key_digests = ["{digest}"]
tokens_per_second = 20000000
burst = 20000000
class_ceiling = "urgent"
models = ["*"]
routes = ["*"]
"#
    );
    for number in 0..models {
        text += &format!(
            r#"
[[models]]
name = "model-{number}"
memory = "1 GiB"
slots = {slots}
max_prompt_tokens = 4096
max_output_tokens = 1024
load_ms = {{ memory = 50, disk = 300, remote = 1000 }}
keep_alive_floor_ms = 3600000
keep_alive_ceiling_ms = 3600000
"#
        );
    }
    text
}
