//! Steps that several subjects share.

use std::time::Duration;

use comfreyhaven_harness::{CallError, Deployment, HarnessError, Reply};
use comfreyhaven_standin::answer_text;
use serde_json::Value;
use tokio::task::JoinHandle;

/// Tokens of a chat in [`chat_in_turn`].
const TURN_TOKENS: u32 = 8;

/// A call that runs beside the test.
pub type Call = JoinHandle<Result<Reply, CallError>>;

/// Starts a chat at an entry.
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

/// Asserts that a chat gets the whole answer to its own prompt.
pub async fn assert_whole(call: Call, prompt: &str, tokens: u32) -> Result<(), HarnessError> {
    let reply = outcome(call).await?;
    let whole = Some(answer_text::text(prompt, tokens));
    assert_eq!(reply.generated(), whole, "{}", reply.body);
    Ok(())
}

/// Makes chats one after another at the first entry, each of which must get its whole answer.
pub async fn chat_in_turn(deployment: &Deployment, count: u32) -> Result<(), HarnessError> {
    for index in 0..count {
        let prompt = format!("in turn {index}");
        let call = chat(deployment, 0, &prompt, TURN_TOKENS)?;
        assert_whole(call, &prompt, TURN_TOKENS).await?;
    }
    Ok(())
}

/// Chats that run at once, with prompts of their own.
pub struct Chats {
    calls: Vec<(String, Call)>,
    tokens: u32,
}

impl Chats {
    /// Starts chats of `tokens` tokens at the first `entries` entries in turn.
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

    /// Asserts that each chat gets the whole answer to its own prompt.
    pub async fn assert_whole(self) -> Result<(), HarnessError> {
        for (prompt, call) in self.calls {
            assert_whole(call, &prompt, self.tokens).await?;
        }
        Ok(())
    }
}

/// The outcome of a call that runs beside the test.
pub async fn outcome(call: Call) -> Result<Reply, CallError> {
    call.await.expect("the call does not panic")
}

/// After this time a test that waits in vain fails, where it would else hang the whole run.
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
    let waited = tokio::time::timeout(HANG_TIMEOUT, waiting).await;
    waited.expect("the condition holds at some time")
}

/// Waits until the agent at `index` runs `count` requests.
pub async fn until_running(
    deployment: &Deployment,
    index: usize,
    count: u64,
) -> Result<(), HarnessError> {
    until(|| async { Ok(deployment.agent_state(index).await?["running"] == count) }).await
}

/// Chats that the engine at `index` has seen.
pub async fn seen(deployment: &Deployment, index: usize) -> Result<usize, HarnessError> {
    let calls = deployment.get_from_endpoint(index, "/seen").await?.json();
    Ok(calls.as_array().map_or(0, Vec::len))
}

/// What the caller of a request that began and did not end whole was sent last.
pub fn cut_off(outcome: Result<Reply, CallError>) -> Result<String, HarnessError> {
    match outcome {
        Ok(reply) => {
            assert_eq!(
                reply.generated(),
                None,
                "the answer must not look whole: {}",
                reply.body
            );
            Ok(reply.body)
        }
        Err(CallError::Broken { text, .. }) => Ok(text),
        Err(error) => Err(error.into()),
    }
}

/// What a refusal says of execution.
pub fn execution(reply: &Reply) -> String {
    reply.json()["error"]["execution"]
        .as_str()
        .unwrap_or("none")
        .to_owned()
}

/// Waits until the dump of the entry at `index` satisfies a condition.
pub async fn until_entry(
    deployment: &Deployment,
    index: usize,
    condition: impl Fn(&Value) -> bool,
) -> Result<(), HarnessError> {
    until(async || Ok(condition(&deployment.entry_state(index).await?))).await
}

/// Waits until the dump of the agent at `index` satisfies a condition.
pub async fn until_agent(
    deployment: &Deployment,
    index: usize,
    condition: impl Fn(&Value) -> bool,
) -> Result<(), HarnessError> {
    until(async || Ok(condition(&deployment.agent_state(index).await?))).await
}
