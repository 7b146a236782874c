//! The log of one answer, from which any number of connections can be served.

use std::sync::Mutex;

use tokio::sync::watch;

/// The data of the event that ends a stream.
pub(crate) const TERMINAL_DATA: &str = "[DONE]";

/// One answer as far as it has been generated.
#[derive(Debug)]
pub(crate) struct AnswerLog {
    prompt_tokens: u32,
    content: Mutex<Content>,
    progress: watch::Sender<Progress>,
    cancel: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct Content {
    events: Vec<String>,
    text: String,
}

/// How far an answer has come.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    events: usize,
    warm_tokens: Option<u32>,
    finished: bool,
}

impl AnswerLog {
    /// Makes an empty log.
    pub(crate) fn new(prompt_tokens: u32) -> Self {
        Self {
            prompt_tokens,
            content: Mutex::default(),
            progress: watch::Sender::default(),
            cancel: watch::Sender::default(),
        }
    }

    /// Returns the tokens of the prompt.
    pub(crate) const fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }

    /// Notes how many tokens of the prompt were warm.
    pub(crate) fn set_warm_tokens(&self, warm_tokens: u32) {
        self.progress
            .send_modify(|progress| progress.warm_tokens = Some(warm_tokens));
    }

    /// Appends an event and the text that it carries.
    pub(crate) fn push(&self, event: String, text: Option<&str>) {
        let mut content = self.content.lock().expect("no holder of the lock panics");
        content.events.push(event);
        content.text.push_str(text.unwrap_or_default());
        let events = content.events.len();
        drop(content);
        self.progress
            .send_modify(|progress| progress.events = events);
    }

    /// Appends the terminal event.
    pub(crate) fn finish(&self) {
        self.push(TERMINAL_DATA.to_owned(), None);
        self.progress
            .send_modify(|progress| progress.finished = true);
    }

    /// Tells whether the terminal event has been appended.
    pub(crate) fn is_finished(&self) -> bool {
        self.progress.borrow().finished
    }

    /// Asks the generation to stop.
    pub(crate) fn cancel(&self) {
        self.cancel.send_replace(true);
    }

    /// Waits until somebody has cancelled the answer.
    pub(crate) async fn cancelled(&self) {
        let mut cancel = self.cancel.subscribe();
        if cancel.wait_for(|cancelled| *cancelled).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until prefill has begun and returns the warm tokens.
    pub(crate) async fn warm_tokens(&self) -> u32 {
        let mut progress = self.progress.subscribe();
        match progress
            .wait_for(|progress| progress.warm_tokens.is_some())
            .await
        {
            Ok(progress) => progress.warm_tokens.unwrap_or(0),
            Err(_) => 0,
        }
    }

    /// Waits for the event after `sequence` and returns it; `None` after the terminal event.
    pub(crate) async fn event_after(&self, sequence: usize) -> Option<String> {
        let mut progress = self.progress.subscribe();
        progress
            .wait_for(|progress| progress.events > sequence || progress.finished)
            .await
            .ok()?;
        let content = self.content.lock().expect("no holder of the lock panics");
        content.events.get(sequence).cloned()
    }

    /// Waits for the end and returns the whole text.
    pub(crate) async fn whole_text(&self) -> String {
        let mut progress = self.progress.subscribe();
        if progress
            .wait_for(|progress| progress.finished)
            .await
            .is_err()
        {
            return String::new();
        }
        let content = self.content.lock().expect("no holder of the lock panics");
        content.text.clone()
    }
}
