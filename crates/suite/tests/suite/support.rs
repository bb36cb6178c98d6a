//! Helper functions that several modules share.

use std::time::Duration;

use comfreyhaven_harness::{CallError, Deployment, HarnessError, Reply};
use comfreyhaven_standin::answer_text;
use serde_json::Value;
use tokio::task::JoinHandle;

/// Token limit of each chat in [`chat_sequentially`].
const SEQUENTIAL_TOKENS: u32 = 8;

/// A call that runs concurrently with the test.
pub type Call = JoinHandle<Result<Reply, CallError>>;

/// Starts a streamed chat at the entry with index `entry`.
pub fn chat(
    deployment: &Deployment,
    entry: usize,
    prompt: &str,
    tokens: u32,
) -> Result<Call, HarnessError> {
    let caller = deployment.caller(entry, "key-kakheti")?;
    let prompt = prompt.to_owned();
    Ok(tokio::spawn(async move {
        caller.chat("hive", &prompt, tokens, true).await
    }))
}

/// Asserts that a chat gets the complete answer to its own prompt.
pub async fn assert_complete(call: Call, prompt: &str, tokens: u32) -> Result<(), HarnessError> {
    let reply = outcome(call).await?;
    let expected = Some(answer_text::text(prompt, tokens));
    assert_eq!(reply.generated(), expected, "{}", reply.body);
    Ok(())
}

/// Makes `count` chats one after another at the first entry and asserts that each gets its complete
/// answer.
pub async fn chat_sequentially(deployment: &Deployment, count: u32) -> Result<(), HarnessError> {
    for index in 0..count {
        let prompt = format!("in turn {index}");
        let call = chat(deployment, 0, &prompt, SEQUENTIAL_TOKENS)?;
        assert_complete(call, &prompt, SEQUENTIAL_TOKENS).await?;
    }
    Ok(())
}

/// Concurrent chats with different prompts.
pub struct Chats {
    calls: Vec<(String, Call)>,
    tokens: u32,
}

impl Chats {
    /// Starts `count` chats of at most `tokens` tokens, distributed over the first `entries`
    /// entries.
    pub fn start(
        deployment: &Deployment,
        entries: usize,
        name: &str,
        count: usize,
        tokens: u32,
    ) -> Result<Self, HarnessError> {
        let start = |index| {
            let prompt = format!("{name} {index}");
            let call = chat(deployment, index % entries, &prompt, tokens)?;
            Ok((prompt, call))
        };
        let calls: Result<_, HarnessError> = (0..count).map(start).collect();
        Ok(Self {
            calls: calls?,
            tokens,
        })
    }

    /// Asserts that each chat gets the complete answer to its own prompt.
    pub async fn assert_complete(self) -> Result<(), HarnessError> {
        for (prompt, call) in self.calls {
            assert_complete(call, &prompt, self.tokens).await?;
        }
        Ok(())
    }
}

/// Waits for the outcome of a call.
pub async fn outcome(call: Call) -> Result<Reply, CallError> {
    call.await.expect("the call panicked")
}

/// Maximum time that [`until`] waits. Without a limit, a condition that never holds would hang the
/// whole test run.
const HANG_TIMEOUT: Duration = Duration::from_secs(300);

/// Waits until a condition holds.
pub async fn until(
    mut condition: impl AsyncFnMut() -> Result<bool, HarnessError>,
) -> Result<(), HarnessError> {
    let waiting = async {
        while !condition().await? {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    };
    let result = tokio::time::timeout(HANG_TIMEOUT, waiting).await;
    result.expect("the condition did not hold in time")
}

/// Waits until the agent at `index` runs exactly `count` requests.
pub async fn until_running(
    deployment: &Deployment,
    index: usize,
    count: u64,
) -> Result<(), HarnessError> {
    until(|| async { Ok(deployment.agent_state(index).await?["running"] == count) }).await
}

/// Returns the number of calls that the endpoint at `index` has received.
pub async fn call_count(deployment: &Deployment, index: usize) -> Result<usize, HarnessError> {
    let calls = deployment.get_from_endpoint(index, "/seen").await?.json();
    Ok(calls.as_array().map_or(0, Vec::len))
}

/// Returns the partial body of an answer that started and was not completed.
pub fn partial_body(outcome: Result<Reply, CallError>) -> Result<String, HarnessError> {
    match outcome {
        Ok(reply) => {
            assert_eq!(
                reply.generated(),
                None,
                "the answer must be incomplete: {}",
                reply.body
            );
            Ok(reply.body)
        }
        Err(CallError::Broken { text, .. }) => Ok(text),
        Err(error) => Err(error.into()),
    }
}

/// Returns the execution status that a refusal states, or `none`.
pub fn execution(reply: &Reply) -> String {
    reply.json()["error"]["execution"]
        .as_str()
        .unwrap_or("none")
        .to_owned()
}

/// Waits until the state dump of the entry at `index` satisfies a condition.
pub async fn until_entry(
    deployment: &Deployment,
    index: usize,
    condition: impl Fn(&Value) -> bool,
) -> Result<(), HarnessError> {
    until(async || Ok(condition(&deployment.entry_state(index).await?))).await
}

/// Waits until the state dump of the agent at `index` satisfies a condition.
pub async fn until_agent(
    deployment: &Deployment,
    index: usize,
    condition: impl Fn(&Value) -> bool,
) -> Result<(), HarnessError> {
    until(async || Ok(condition(&deployment.agent_state(index).await?))).await
}
