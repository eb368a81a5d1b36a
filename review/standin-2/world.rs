//! What all cases share: the record, the processes under test, their settings and ports.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Got;
use crate::http::Message;
use crate::store::Store;

/// The longest time that a case may take.
const CASE_TIME_MAX: Duration = Duration::from_secs(115);
pub const KEY: &str = "k-archive-1";
pub const HOST: &str = "songs.example";

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub runner: String,
    /// The id of the client's attempt.
    pub attempt: String,
    pub path: String,
    pub body: String,
}

/// A request that a client sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Duration,
    pub path: String,
}

struct Lines {
    file: File,
    arrivals: Vec<Arrival>,
    sent: Vec<Sent>,
}

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Lines>>,
}

impl Record {
    pub fn open(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        let lines = Lines {
            file,
            arrivals: Vec::new(),
            sent: Vec::new(),
        };
        Record {
            started: Instant::now(),
            lines: Arc::new(Mutex::new(lines)),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, who: &str, what: &str) {
        let at = self.now().as_secs_f64();
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines.file, "{at:8.3} {who}: {what}");
    }

    /// A line that is also printed.
    pub fn say(&self, what: &str) {
        self.line("case", what);
        println!("{what}");
    }

    pub fn arrival(&self, runner: &str, attempt: &str, request: &Message) {
        let arrival = Arrival {
            at: self.now(),
            runner: runner.to_owned(),
            attempt: attempt.to_owned(),
            path: request.path().to_owned(),
            body: String::from_utf8_lossy(&request.body).into_owned(),
        };
        self.lines.lock().unwrap().arrivals.push(arrival);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lines.lock().unwrap().arrivals.clone()
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.lines.lock().unwrap().sent.clone()
    }
}

/// A machine of the system: one process with an address of its own.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    ip: String,
    /// The model runner on the same machine, with its service.
    app: Option<(SocketAddr, &'static str)>,
    process: Child,
}

/// A run of a case.
pub struct World {
    pub record: Record,
    pub store: Store,
    /// Whether the case has its disruption.
    pub trouble: bool,
    folder: PathBuf,
    /// The second number of all addresses: 127.N.x.y.
    net: u8,
    ports: [u16; 7],
    machines: Arc<Mutex<Vec<Machine>>>,
    next_attempt: Arc<AtomicU64>,
}

impl World {
    /// Opens a case whose addresses are 127.`net`.0.1 and up.
    pub fn open(case: &str, net: u8) -> World {
        let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        let folder = Path::new("review").join(case);
        let record = match folder.is_dir() {
            true => Record::open(&folder.join("record.txt")),
            false => Record::open(&Path::new("target/review-2").join(format!("{case}.txt"))),
        };
        let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let ports = [(); 7].map(|()| free_port());
        let silence = crate::runner::HEARTBEAT * 3;
        let address = SocketAddr::new(format!("127.{net}.0.250").parse().unwrap(), ports[0]);
        let store = Store::spawn(address, silence);
        let world = World {
            store,
            trouble,
            folder,
            net,
            ports,
            machines: Arc::default(),
            next_attempt: Arc::default(),
            record,
        };
        world.record.line("case", &format!("disruption: {trouble}"));
        let machines = world.machines.clone();
        let watched = world.record.clone();
        thread::spawn(move || {
            thread::sleep(CASE_TIME_MAX);
            watched.say("the case took too long");
            end_all(&machines);
            std::process::exit(2);
        });
        world
    }

    /// The address of a runner on the machine with a number.
    pub fn runner_address(&self, number: u8) -> SocketAddr {
        self.address(1, number, self.ports[5])
    }

    /// The address of the origin of weights.
    pub fn origin_address(&self) -> SocketAddr {
        self.address(0, 251, self.ports[6])
    }

    fn address(&self, group: u8, number: u8, port: u16) -> SocketAddr {
        let ip = format!("127.{}.{group}.{number}", self.net);
        SocketAddr::new(ip.parse().unwrap(), port)
    }

    /// Starts an entry as the deploy file says, on a machine of its own.
    pub fn start_entry(&self, number: u8, zone: &'static str) {
        let frontend = self.address(0, number, self.ports[1]);
        self.start(format!("edge-{number}"), zone, frontend, None);
    }

    /// Starts the agent of a model runner, on its machine.
    pub fn start_agent(&self, number: u8, zone: &'static str, service: &'static str) {
        let app = self.runner_address(number);
        let frontend = self.address(1, number, self.ports[1]);
        self.start(
            format!("side-{number}"),
            zone,
            frontend,
            Some((app, service)),
        );
    }

    fn start(
        &self,
        name: String,
        zone: &'static str,
        frontend: SocketAddr,
        app: Option<(SocketAddr, &'static str)>,
    ) {
        let ip = frontend.ip().to_string();
        let readiness = SocketAddr::new(frontend.ip(), self.ports[2]);
        let settings = self.settings(&name, &ip, zone, frontend, readiness, app);
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let process = Command::new("target/release/snipewinch-node")
            .env("SNIPEWINCH_BOOT", &path)
            .env("SNIPEWINCH_METRICS_PORT", self.ports[3].to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let Ok(process) = process else {
            self.unable("target/release/snipewinch-node could not be started");
        };
        self.record.line("case", &format!("{name} is started"));
        let machine = Machine {
            name,
            zone,
            frontend,
            readiness,
            ip,
            app,
            process,
        };
        self.machines.lock().unwrap().push(machine);
    }

    fn settings(
        &self,
        name: &str,
        ip: &str,
        zone: &str,
        frontend: SocketAddr,
        readiness: SocketAddr,
        app: Option<(SocketAddr, &str)>,
    ) -> String {
        let (class, memory, link) = match app {
            None => ("edge", 182, 700.0),
            Some(_) => ("side", 128, 7.3),
        };
        let side = app.map_or(String::new(), |(app, service)| {
            format!("app = \"{app}\"\nservice = \"{service}\"\n")
        });
        let listen = match app {
            None => format!("frontend = \"{frontend}\"\nreadiness = \"{readiness}\"\n"),
            Some(_) => String::new(),
        };
        let region = region(zone);
        let peers = self.ports[4];
        let store = self.store.address;
        format!(
            r#"nodeName = "{name}"
role = "{class}"
machineClass = "{class}"
serves = ["{class}"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
portRange = [{peers}, {peers}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
{side}
[zones]
gulf-coast-a = "gulf-coast"
hill-country-a = "hill-country"
panhandle-a = "panhandle"
[listen]
{listen}
[limits]
cpuShare = 0.3
cores = 1
memoryMb = {memory}
maxFds = 2870
linkMbps = {link:.1}
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
failClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBurst = 234
recoverS = 12
passMs = 120
retryAfterS = 0
version_ms = 8000
version_all_ms = 0
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partOpsS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
"#
        )
    }

    /// Waits until all entries say that they are ready.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        let entries: Vec<SocketAddr> = {
            let machines = self.machines.lock().unwrap();
            let entries = machines.iter().filter(|one| one.app.is_none());
            entries.map(|one| one.readiness).collect()
        };
        for address in entries {
            let head = "GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
            loop {
                let got = http::ask(address, head, b"", Duration::from_secs(1));
                if matches!(&got, Got::Answer(answer) if answer.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    self.unable("an entry did not become ready");
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        self.record.line("case", "all entries are ready");
    }

    /// The addresses of the entries for clients.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let machines = self.machines.lock().unwrap();
        let entries = machines.iter().filter(|one| one.app.is_none());
        entries.map(|one| one.frontend).collect()
    }

    /// A client that may be used from any thread.
    pub fn client(&self) -> Client {
        Client {
            record: self.record.clone(),
            next: self.next_attempt.clone(),
        }
    }

    /// Waits until a time of the run.
    pub fn until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.record.now()));
    }

    fn unable(&self, why: &str) -> ! {
        self.record.say(&format!("the case could not run: {why}"));
        end_all(&self.machines);
        std::process::exit(2);
    }

    /// Ends all processes and the case.
    pub fn finish(self, is_broken: bool) -> ! {
        for machine in self.machines.lock().unwrap().iter_mut() {
            if let Ok(Some(status)) = machine.process.try_wait() {
                let (name, zone, ip) = (&machine.name, machine.zone, &machine.ip);
                self.record.say(&format!(
                    "{name} in {zone} at {ip} had ended by itself: {status}"
                ));
            }
        }
        end_all(&self.machines);
        match std::env::var("KEEP_LOGS") {
            Ok(_) => println!("logs are in {}", self.folder.display()),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
        self.record.say(if is_broken {
            "the rule is broken"
        } else {
            "the rule holds"
        });
        std::process::exit(i32::from(is_broken));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        end_all(&self.machines);
    }
}

fn end_all(machines: &Mutex<Vec<Machine>>) {
    for machine in machines.lock().unwrap().iter_mut() {
        let _ = machine.process.kill();
        let _ = machine.process.wait();
    }
}

fn region(zone: &str) -> &str {
    zone.strip_suffix("-a").unwrap_or(zone)
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().unwrap().port()
}

/// Sends requests and records them.
#[derive(Clone)]
pub struct Client {
    record: Record,
    next: Arc<AtomicU64>,
}

impl Client {
    /// Sends one request as an attempt of its own.
    pub fn send(
        &self,
        entry: SocketAddr,
        method: &str,
        path: &str,
        fields: &str,
        body: &str,
        deadline_ms: u64,
    ) -> Got {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let attempt = format!("a{number:06}");
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\nConnection: close\r\n{fields}"
        );
        self.record.line(
            "client",
            &format!("{attempt} {method} {path} to {}", entry.ip()),
        );
        let sent = Sent {
            at: self.record.now(),
            path: path.to_owned(),
        };
        self.record.lines.lock().unwrap().sent.push(sent);
        let limit = Duration::from_millis(deadline_ms);
        let got = http::ask(entry, &head, body.as_bytes(), limit);
        self.record
            .line("client", &format!("{attempt} is answered: {}", got.text()));
        got
    }
}
