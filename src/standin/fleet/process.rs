//! One process of a fleet: start, signals, and its operator and control pages.

use super::*;

/// A VM process or a stand-in.
pub struct Process {
    pub name: String,
    pub failure_domain: usize,
    /// Address for callers; of a stand-in, the address that it serves.
    pub address: SocketAddr,
    /// Address for operators; stand-ins have none.
    pub operators: Option<SocketAddr>,
    binary: &'static str,
    arguments: Vec<String>,
    child: Child,
}

impl Process {
    pub(super) fn start(
        folder: &Path,
        name: &str,
        domain: usize,
        binary: &'static str,
        settings: &Value,
        address: SocketAddr,
    ) -> io::Result<Process> {
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string())?;
        let operators = settings["operators_address"]
            .as_str()
            .and_then(|a| a.parse().ok());
        let arguments = vec![file.display().to_string()];
        let child = spawn(folder, name, binary, &arguments)?;
        let name = name.to_owned();
        Ok(Process {
            name,
            failure_domain: domain,
            address,
            operators,
            binary,
            arguments,
            child,
        })
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process at once, as a crash would, and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process for an orderly stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a suspended process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the process to end; returns its exit code, or `None` when a signal ended it or it
    /// still runs after the timeout.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = clock::now() + timeout;
        while clock::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            clock::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Starts the process again after its end, with the same arguments and settings.
    pub fn restart(&mut self, folder: &Path) -> io::Result<()> {
        self.child = spawn(folder, &self.name, self.binary, &self.arguments)?;
        Ok(())
    }

    /// Reads a JSON page from the operators' address; `Null` when that fails.
    pub fn page(&self, path: &str) -> Value {
        let Some(address) = self.operators else {
            return Value::Null;
        };
        let text = call(address, "GET", path, "", &[], b"").map(|answer| answer.text());
        serde_json::from_str(&text.unwrap_or_default()).unwrap_or(Value::Null)
    }

    /// Changes the behaviour or faults of a stand-in.
    pub fn control(&self, change: Value) {
        let path = if self.name == "platform" {
            "/control/fault"
        } else {
            "/control"
        };
        let body = change.to_string();
        let _ = call(self.address, "POST", path, "", &[], body.as_bytes());
    }

    /// The counters of a stand-in; `Null` when they can't be read.
    pub fn stats(&self) -> Value {
        let text = call(self.address, "GET", "/stats", "", &[], b"").map(|answer| answer.text());
        serde_json::from_str(&text.unwrap_or_default()).unwrap_or(Value::Null)
    }
}

/// The folder of the running executable; for a test, the one above its `deps`.
fn binary_folder() -> PathBuf {
    let mut folder = std::env::current_exe().unwrap_or_default();
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder
}

/// Starts a stand-in and reads its address from its first line of output.
pub(super) fn start_standin(name: &str, domain: usize, arguments: &[&str]) -> io::Result<Process> {
    let arguments: Vec<String> = arguments.iter().map(|a| (*a).to_owned()).collect();
    let mut child = Command::new(binary_folder().join("bramley-standin"))
        .args(&arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::inherit())
        .spawn()?;
    let mut line = String::new();
    if let Some(out) = child.stdout.take() {
        BufReader::new(out).read_line(&mut line)?;
    }
    let address = line
        .trim()
        .strip_prefix("address ")
        .and_then(|text| text.parse().ok());
    let address = address.ok_or_else(|| {
        io::Error::other(format!(
            "{name}: expected its address on standard output, got {line:?}"
        ))
    })?;
    Ok(Process {
        name: name.to_owned(),
        failure_domain: domain,
        address,
        operators: None,
        binary: "bramley-standin",
        arguments,
        child,
    })
}

fn spawn(folder: &Path, name: &str, binary: &str, arguments: &[String]) -> io::Result<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))?;
    let null = File::options().append(true).open("/dev/null")?;
    Command::new(binary_folder().join(binary))
        .args(arguments)
        .stderr(log)
        .stdout(null)
        .spawn()
}
