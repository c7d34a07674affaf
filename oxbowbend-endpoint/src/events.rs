//! Server-sent events of an engine's streamed answer.
//!
//! A stream that stops without its last event has been cut, whatever the transport says; a
//! truncated transcript must not pass for an answer.

use eventsource_stream::{EventStream, EventStreamError};
use futures::stream::{self, BoxStream, StreamExt};
use oxbowbend_http::client;
use serde_json::Value;

/// Which of the two answering APIs a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Api {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/responses`.
    Responses,
}

impl Api {
    /// The API's path.
    pub fn path(self) -> &'static str {
        match self {
            Api::Chat => "/v1/chat/completions",
            Api::Responses => "/v1/responses",
        }
    }
}

/// One event of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Event name; empty where the API uses none.
    pub name: String,
    /// Its data.
    pub data: String,
}

impl Event {
    /// The event as it is sent.
    ///
    /// ```
    /// let event = oxbowbend_endpoint::events::Event { name: "".into(), data: "x".into() };
    /// assert_eq!(event.encode(), b"data: x\n\n");
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let mut text = String::with_capacity(self.data.len() + 16);
        if !self.name.is_empty() {
            text.push_str(&format!("event: {}\n", self.name));
        }
        for line in self.data.split('\n') {
            text.push_str(&format!("data: {line}\n"));
        }
        text.push('\n');
        text.into_bytes()
    }

    /// Whether nothing comes after this event.
    pub fn is_last(&self, api: Api) -> bool {
        match api {
            Api::Chat => self.data == "[DONE]",
            Api::Responses => matches!(
                self.name.as_str(),
                "response.completed" | "response.failed" | "response.incomplete" | "error"
            ),
        }
    }

    /// Token counts, if the event carries them.
    pub fn usage(&self) -> Option<Usage> {
        if !self.data.contains("\"usage\"") {
            return None;
        }
        let value: Value = serde_json::from_str(&self.data).ok()?;
        Usage::find(&value)
    }
}

/// Token counts of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt: u32,
    /// Prompt tokens that the engine had cached.
    pub cached: u32,
    /// Output tokens.
    pub output: u32,
}

impl Usage {
    /// Finds the counts in an answer of either API.
    ///
    /// ```
    /// use oxbowbend_endpoint::events::Usage;
    /// let answer = serde_json::json!({ "usage": { "prompt_tokens": 3, "completion_tokens": 2 } });
    /// assert_eq!(Usage::find(&answer).unwrap().prompt, 3);
    /// ```
    pub fn find(answer: &Value) -> Option<Usage> {
        let usage = [&answer["usage"], &answer["response"]["usage"]];
        let usage = usage.into_iter().find(|u| u.is_object())?;
        let count = |names: [&str; 2]| {
            let value = names.iter().find_map(|n| usage.pointer(n)?.as_u64());
            value.unwrap_or(0).min(u64::from(u32::MAX)) as u32
        };
        Some(Usage {
            prompt: count(["/prompt_tokens", "/input_tokens"]),
            cached: count([
                "/prompt_tokens_details/cached_tokens",
                "/input_tokens_details/cached_tokens",
            ]),
            output: count(["/completion_tokens", "/output_tokens"]),
        })
    }
}

/// The events of one connection's answer.
pub struct Events {
    events: BoxStream<'static, Result<Event, String>>,
}

impl Events {
    /// Reads events from an answer.
    pub fn new(answer: client::Answer) -> Events {
        let pieces = stream::unfold(Some(answer), |answer| async {
            let mut answer = answer?;
            match answer.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some(answer))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        });
        let events = EventStream::new(pieces).map(|event| match event {
            Ok(e) => {
                // The name of an event that states none is the protocol's default.
                let name = if e.event == "message" { String::new() } else { e.event };
                Ok(Event { name, data: e.data })
            }
            Err(EventStreamError::Transport(e)) => Err(e.to_string()),
            Err(e) => Err(e.to_string()),
        });
        Events { events: events.boxed() }
    }

    /// The next event; `None` where the connection's body has ended.
    ///
    /// # Errors
    ///
    /// Fails if the connection or the encoding does.
    pub async fn next(&mut self) -> Result<Option<Event>, String> {
        self.events.next().await.transpose()
    }
}
