//! Logs by `log` and `fern`: one JSON object a line, or readable text.

use std::fmt::Arguments;

use fern::FormatCallback;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::clock;
use crate::settings::{Log, LogFormat};

struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}

/// Starts logging to standard error.
pub fn start(settings: &Log, vm: &str, failure_domain: &str) {
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let (vm, failure_domain) = (vm.to_owned(), failure_domain.to_owned());
    let json = settings.format == LogFormat::Json;
    let format = move |out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>| {
        let time = humantime::format_rfc3339_millis(std::time::UNIX_EPOCH + clock::unix());
        let mut fields = Fields(serde_json::Map::new());
        let _ = record.key_values().visit(&mut fields);
        if !json {
            let level = record.level();
            let extra: String = fields.0.iter().map(|(k, v)| format!(" {k}={v}")).collect();
            out.finish(format_args!("{time} {level:5} {vm} {message}{extra}"));
            return;
        }
        let mut line = fields.0;
        line.insert("time".into(), time.to_string().into());
        line.insert("level".into(), record.level().as_str().into());
        line.insert("vm".into(), vm.as_str().into());
        line.insert("failure_domain".into(), failure_domain.as_str().into());
        line.insert("message".into(), message.to_string().into());
        out.finish(format_args!("{}", serde_json::Value::Object(line)));
    };
    let dispatch = fern::Dispatch::new()
        .format(format)
        .level(level)
        .chain(std::io::stderr());
    // A second start in one process keeps the first one's settings.
    let _ = dispatch.apply();
}
