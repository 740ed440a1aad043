//! Stand-in of a runner: of the booking application, or a model runner with the stages prefill and decode.

use std::io::Result;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Exchange, Request};
use crate::platform::Store;

/// Requests that an application runner runs at the same time, and those that it queues besides.
const APP_SLOTS: usize = 6;
const APP_QUEUE: usize = 24;

/// Requests that a model runner runs at the same time.
const ENGINE_SLOTS: usize = 64;

/// Work of one application request.
const APP_WORK: Duration = Duration::from_millis(15);

/// Time of a prefill, and between two events of a stream.
const PREFILL_WORK: Duration = Duration::from_millis(22);
const EVENT_PAUSE: Duration = Duration::from_millis(5);

/// Pause between two events at a runner in a process of its own, whose streams take longer.
const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(60);

/// Part of a prompt that crashes the runner that begins to write an answer on it.
pub const DEADLY_PART: &str = "deadbeef";

/// Events of a stream.
const EVENTS: usize = 4;

/// A request that a runner began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub at: Instant,
}

/// Requests that a runner runs, and those that wait for a slot.
#[derive(Default)]
struct Work {
    running: usize,
    queued: usize,
}

/// A runner. Its address serves until the process of the case ends, unless it is closed.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    store: Arc<Store>,
    stage: Mutex<Option<String>>,
    work: Mutex<Work>,
    freed: Condvar,
    runs: Mutex<Vec<Run>>,
    orders: AtomicU64,
    handles: AtomicU64,
    sequence: AtomicU64,
    is_closed: AtomicBool,
    is_told: bool,
    born_ms: u128,
}

impl Runner {
    /// Starts a runner and registers it in the store.
    pub fn start(store: &Arc<Store>, id: &str, service: &str, zone: &str, stage: Option<&str>) -> Result<Arc<Self>> {
        Self::start_at(store, id, service, zone, stage, 0, false)
    }

    /// The same at a port. `is_told` prints what the runner gets; then a run of a prompt with the part [`DEADLY_PART`] ends the
    /// process.
    fn start_at(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        zone: &str,
        stage: Option<&str>,
        port: u16,
        is_told: bool,
    ) -> Result<Arc<Self>> {
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            store: Arc::clone(store),
            stage: Mutex::new(stage.map(str::to_owned)),
            work: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
            orders: AtomicU64::new(0),
            handles: AtomicU64::new(1),
            sequence: AtomicU64::new(1),
            is_closed: AtomicBool::new(false),
            is_told,
            born_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
        });
        let served = Arc::clone(&runner);
        http::serve(
            listener,
            Arc::new(move |request: &Request, exchange: &mut Exchange<'_>| served.handle(request, exchange)),
        );
        runner.register();
        Ok(runner)
    }

    /// Writes the runner's entry.
    fn register(&self) {
        let stage = self.stage.lock().unwrap().clone();
        let stage = stage.map_or(String::new(), |stage| format!(",\"Stage\":\"{stage}\""));
        let slots = if stage.is_empty() { APP_SLOTS } else { ENGINE_SLOTS };
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{slots},\"State\":\"ready\",\
             \"ColdLeftMs\":0,\"Sequence\":{},\"born\":{}{stage}}}",
            self.service,
            self.address,
            self.zone,
            self.sequence.fetch_add(1, Ordering::Relaxed),
            self.born_ms
        );
        self.store.put("keyed.servers", &self.id, &entry);
    }

    /// Leaves without a report: the entry is removed, and the runner serves on. Returns when the store confirmed it.
    pub fn leave_silently(&self) -> Instant {
        self.store.put("keyed.servers", &self.id, "")
    }

    /// Exits: every further request meets a closed channel.
    pub fn exit(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Requests that the runner began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn handle(self: &Arc<Self>, request: &Request, exchange: &mut Exchange<'_>) -> Result<bool> {
        if self.is_closed.load(Ordering::Relaxed) {
            return Ok(false);
        }
        match (request.method.as_str(), request.path()) {
            ("GET", "/health") => exchange.respond(200, &[("Instance-Id", &self.id)], b"")?,
            ("GET", "/report") => {
                let stage = self.stage.lock().unwrap().clone().unwrap_or_default();
                let body = format!(
                    "{{\"Stage\":\"{stage}\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"Busy\":false,\
                     \"Sequence\":{},\"Queued\":0,\"Active\":{},\"KvUsed\":0,\"KvCapacity\":407221,\"KvHandles\":0}}",
                    self.orders.load(Ordering::Relaxed),
                    self.work.lock().unwrap().running
                );
                exchange.respond(200, &[("Content-Type", "application/json")], body.as_bytes())?;
            }
            ("POST", "/order") => self.take_order(request, exchange)?,
            ("DELETE", _) => exchange.respond(200, &[], b"")?,
            _ => self.run(request, exchange)?,
        }
        Ok(true)
    }

    /// Changes the stage, as soon as the order is accepted.
    fn take_order(&self, request: &Request, exchange: &mut Exchange<'_>) -> Result<()> {
        let body = String::from_utf8_lossy(&request.message.body).into_owned();
        let stage = if body.contains("\"Stage\":\"prefill\"") { "prefill" } else { "decode" };
        self.orders.fetch_add(1, Ordering::Relaxed);
        *self.stage.lock().unwrap() = Some(stage.to_owned());
        if self.is_told {
            println!("stage {stage}");
        }
        self.register();
        exchange.respond(202, &[], b"")
    }

    fn run(&self, request: &Request, exchange: &mut Exchange<'_>) -> Result<()> {
        let attempt = request.message.field("attempt-id").unwrap_or_default().to_owned();
        let refuse = |exchange: &mut Exchange<'_>, status| {
            exchange.respond(status, &[("Attempt-Id", &attempt), ("Not-Executed", "1")], b"")
        };
        if request.message.field("expect-instance").is_some_and(|id| id != self.id) {
            return refuse(exchange, 421);
        }
        let stage = self.stage.lock().unwrap().clone();
        let is_prefill = request.message.field("stage") == Some("prefill");
        match stage.as_deref() {
            Some("prefill") if !is_prefill => return refuse(exchange, 421),
            Some("decode") if is_prefill => return refuse(exchange, 421),
            _ => {}
        }
        let slots = if stage.is_some() { ENGINE_SLOTS } else { APP_SLOTS };
        let mut work = self.work.lock().unwrap();
        if work.running >= slots && work.queued >= APP_QUEUE {
            drop(work);
            return refuse(exchange, 503);
        }
        work.queued += 1;
        while work.running >= slots {
            work = self.freed.wait(work).unwrap();
        }
        work.queued -= 1;
        work.running += 1;
        let load = format!("{},{},{slots}", work.running, work.queued);
        drop(work);
        let result = self.answer(request, exchange, &attempt, &load, is_prefill, stage.is_some());
        self.work.lock().unwrap().running -= 1;
        self.freed.notify_one();
        result
    }

    fn answer(
        &self,
        request: &Request,
        exchange: &mut Exchange<'_>,
        attempt: &str,
        load: &str,
        is_prefill: bool,
        is_engine: bool,
    ) -> Result<()> {
        let common = [("Attempt-Id", attempt), ("Instance-Load", load), ("Keep-Alive", "timeout=5")];
        let parts = request.message.field("prompt-prefix").unwrap_or_default();
        let is_deadly = parts.split(',').any(|part| part.split(':').next() == Some(DEADLY_PART));
        if self.is_told {
            let what = if is_prefill { "read" } else { "run" };
            println!("{what} {attempt} {}", if is_deadly { "deadly" } else { "sound" });
        }
        if is_prefill {
            std::thread::sleep(PREFILL_WORK);
            let handle = format!("{}-{}", self.id, self.handles.fetch_add(1, Ordering::Relaxed));
            let body = format!("{{\"KvHandle\":\"{handle}\",\"Tokens\":1000,\"Version\":1}}");
            return exchange.respond(200, &common, body.as_bytes());
        }
        self.runs.lock().unwrap().push(Run {
            attempt: attempt.to_owned(),
            at: Instant::now(),
        });
        let seal = format!("seal.{}.{attempt}", self.id);
        let mut fields = common.to_vec();
        fields.push(("Response-Seal", &seal));
        if is_engine {
            fields.push(("Content-Type", "text/event-stream"));
            fields.push(("Weight-Versions", "1"));
            exchange.start_chunks(200, &fields)?;
            if self.is_told && is_deadly {
                std::thread::sleep(EVENT_PAUSE);
                exchange.chunk(b"id: 1\ndata: token1\n\n")?;
                std::process::exit(1);
            }
            let pause = if self.is_told { SLOW_EVENT_PAUSE } else { EVENT_PAUSE };
            for number in 1..=EVENTS {
                std::thread::sleep(pause);
                exchange.chunk(format!("id: {number}\ndata: token{number}\n\n").as_bytes())?;
            }
            return exchange.chunk(b"");
        }
        std::thread::sleep(APP_WORK);
        let body = format!("{} {} by {}", request.method, request.path(), self.id);
        exchange.respond(200, &fields, body.as_bytes())
    }
}

/// Runs a model runner as a process of its own, until it is killed, crashes or the process that started it ends.
pub fn run_process(id: &str, port: u16, stage: &str) -> Result<()> {
    let store = Arc::new(Store::default());
    let _runner = Runner::start_at(&store, id, "copydesk-llm", "pest-a", Some(stage), port, true)?;
    println!("ready");
    std::io::copy(&mut std::io::stdin(), &mut std::io::sink())?;
    Ok(())
}
