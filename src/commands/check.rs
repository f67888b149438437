//! The command `check`, which lists all problems of a settings or configuration file.

use std::path::Path;

use serde_json::Value;
use steering::Document;

use super::outcome::{BAD_INPUT, Outcome};
use crate::cli::Output;
use crate::config::Config;

/// Field that distinguishes a settings file, which must have it, from a configuration file.
const SETTINGS_FIELD: &str = "host";

pub fn run(file: &Path, output: Output) -> Outcome {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return Outcome::failed(BAD_INPUT, format!("{}: {error}", file.display())),
    };
    let checked = match is_settings(&text) {
        true => Config::parse(&text)
            .map(|_| "settings".to_owned())
            .map_err(|error| error.to_string()),
        false => parse(&text).map(|document| describe(&document)),
    };
    match (checked, output) {
        (Ok(what), Output::Text) => Outcome::done(format!("{}: good {what}", file.display())),
        (Ok(what), Output::Json) => {
            Outcome::done(serde_json::json!({"good": true, "what": what}).to_string())
        }
        (Err(problems), Output::Text) => Outcome::failed(BAD_INPUT, problems),
        (Err(problems), Output::Json) => {
            let lines: Vec<&str> = problems.lines().collect();
            let out = serde_json::json!({"good": false, "problems": lines}).to_string();
            Outcome {
                out,
                err: String::new(),
                code: BAD_INPUT,
            }
        }
    }
}

/// Parses and validates a configuration.
pub fn parse(text: &str) -> Result<Document, String> {
    let document: Document = serde_json::from_str(text).map_err(|error| error.to_string())?;
    document.check().map_err(|problems| problems.to_string())?;
    Ok(document)
}

fn is_settings(text: &str) -> bool {
    let value: Result<Value, _> = serde_json::from_str(text);
    value.is_ok_and(|value| value.get(SETTINGS_FIELD).is_some())
}

fn describe(document: &Document) -> String {
    format!(
        "configuration: {} regions, {} zones, {} services, {} upstreams, {} rules, {} blocks",
        document.regions.len(),
        document.zones.len(),
        document.services.len(),
        document.upstreams.len(),
        document.rules.len(),
        document.blocks.len()
    )
}
