//! The bodies of an engine's requests and answers, in the two forms that callers may choose.

use serde_json::{json, Value};

/// What a request asks of the engine.
pub(super) struct Job {
    pub(super) run: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) chat: bool,
    pub(super) stream: bool,
    pub(super) model: String,
}

impl Job {
    /// Reads the body of a request.
    pub(super) fn read(body: &Value, chat: bool) -> Job {
        let prompt = if chat { body["messages"].to_string() } else { body["input"].to_string() };
        let limit = ["max_tokens", "max_completion_tokens", "max_output_tokens"];
        let limit = limit.iter().find_map(|n| body[n].as_u64()).unwrap_or(16);
        Job {
            run: body["request_id"].as_str().unwrap_or("none").to_owned(),
            prompt,
            max_tokens: limit as u32,
            chat,
            stream: body["stream"].as_bool().unwrap_or(false),
            model: body["model"].as_str().unwrap_or_default().to_owned(),
        }
    }
}

/// The event of one word of an answer: its name and data.
pub(super) fn token_event(job: &Job, i: usize, word: &str) -> (String, String) {
    let text = if i == 0 { word.to_owned() } else { format!(" {word}") };
    if job.chat {
        let choice = json!({ "index": 0, "delta": { "content": text }, "finish_reason": null });
        let data = json!({
            "id": job.run, "object": "chat.completion.chunk", "model": job.model,
            "choices": [choice],
        });
        return (String::new(), data.to_string());
    }
    let name = "response.output_text.delta";
    let data = json!({ "type": name, "sequence_number": i, "delta": text });
    (name.to_owned(), data.to_string())
}

fn usage(chat: bool, prompt: u32, cached: u32, output: u32) -> Value {
    if chat {
        return json!({
            "prompt_tokens": prompt, "completion_tokens": output,
            "total_tokens": prompt + output,
            "prompt_tokens_details": { "cached_tokens": cached },
        });
    }
    json!({
        "input_tokens": prompt, "output_tokens": output, "total_tokens": prompt + output,
        "input_tokens_details": { "cached_tokens": cached },
    })
}

/// The answer to a request that is not streamed.
pub(super) fn whole_answer(job: &Job, text: &str, prompt: u32, cached: u32, output: u32) -> Value {
    let usage = usage(job.chat, prompt, cached, output);
    if job.chat {
        let message = json!({ "role": "assistant", "content": text });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        return json!({
            "id": job.run, "object": "chat.completion", "model": job.model,
            "choices": [choice], "usage": usage,
        });
    }
    let content = json!([{ "type": "output_text", "text": text }]);
    json!({
        "id": job.run, "object": "response", "status": "completed", "model": job.model,
        "output": [{ "type": "message", "role": "assistant", "content": content }],
        "usage": usage,
    })
}

/// The events that end a stream.
pub(super) fn last_events(
    job: &Job,
    whole: &Value,
    prompt: u32,
    cached: u32,
    output: u32,
    sequence: usize,
) -> Vec<(String, String)> {
    if job.chat {
        let choice = json!({ "index": 0, "delta": {}, "finish_reason": "stop" });
        let data = json!({
            "id": job.run, "object": "chat.completion.chunk", "model": job.model,
            "choices": [choice], "usage": usage(true, prompt, cached, output),
        });
        return vec![(String::new(), data.to_string()), (String::new(), "[DONE]".to_owned())];
    }
    let name = "response.completed";
    let data = json!({ "type": name, "sequence_number": sequence, "response": whole });
    vec![(name.to_owned(), data.to_string())]
}

/// An event on the wire.
pub(super) fn encode(name: &str, data: &str) -> Vec<u8> {
    if name.is_empty() {
        return format!("data: {data}\n\n").into_bytes();
    }
    format!("event: {name}\ndata: {data}\n\n").into_bytes()
}
