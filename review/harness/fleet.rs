//! Instances of the program under test, each a separate process with the command of the deploy file, and a signal sender.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

const FRONT: u16 = 8368;
const READINESS: u16 = 8369;
const CONTROL: u16 = 8367;
const DIRECTORY: u16 = 8360;
const INTERNAL: [u16; 2] = [7780, 7795];
const METRICS: u16 = 9464;

const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A machine and the process that runs on it.
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    pub fn directory(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, DIRECTORY))
    }

    fn readiness(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, READINESS))
    }

    pub fn is_ready(&self) -> bool {
        let host = self.readiness().to_string();
        let response = http::call(
            self.readiness(),
            "GET",
            "/ready",
            &[("Host", &host)],
            b"",
            Duration::from_secs(1),
        );
        response.is_ok_and(|response| response.status == 200)
    }
}

/// Addresses that the processes are told.
#[derive(Clone, Copy)]
pub struct Places {
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

/// All instances; the processes are killed when it is dropped.
pub struct Fleet {
    pub instances: Vec<Instance>,
    program: PathBuf,
    folder: PathBuf,
    places: Places,
    record: Record,
    /// `Seeds` of the settings.
    seeds: Vec<String>,
    zones: Vec<String>,
}

impl Fleet {
    /// Prepares machines named `names`, each in the zone that stands beside it.
    pub fn new(program: &Path, names: &[(&str, &str)], places: Places, record: &Record) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("marigoldlock-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut instances = Vec::new();
        let mut candidate = std::process::id().wrapping_mul(23);
        for (name, zone) in names {
            let ip = loop {
                candidate += 1;
                let bytes = candidate.to_be_bytes();
                let ip = Ipv4Addr::new(127, 1 + bytes[1] % 250, bytes[2], bytes[3]);
                if bytes[3] != 0 && bytes[3] != 255 && is_free(ip) {
                    break ip;
                }
            };
            instances.push(Instance {
                name: (*name).to_owned(),
                zone: (*zone).to_owned(),
                ip,
                settings: folder.join(format!("{name}.json")),
                log: folder.join(format!("{name}.log")),
                child: None,
            });
        }
        let seeds = instances
            .iter()
            .take(3)
            .map(|instance| format!("\"{}:{CONTROL}\"", instance.ip));
        let mut zones: Vec<String> = names.iter().map(|(_, zone)| (*zone).to_owned()).collect();
        zones.sort();
        zones.dedup();
        Ok(Self {
            seeds: seeds.collect(),
            instances,
            program: program.to_owned(),
            folder,
            places,
            record: record.clone(),
            zones,
        })
    }

    fn write_settings(&self, at: usize, is_first: bool) -> io::Result<()> {
        let instance = &self.instances[at];
        let zones: Vec<String> = self
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\":\"chile-central\""))
            .collect();
        let Instance { name, zone, ip, .. } = instance;
        let [first, last] = INTERNAL;
        let text = format!(
            r#"{{"Node":"{name}","Role":"instance","MachineClass":"edge","Serves":["edge","directory","control"],
"Ip":"{ip}","Zone":"{zone}","Region":"chile-central","Zones":{{{zones}}},
"Listen":{{"Front":"{ip}:{FRONT}","Readiness":"{ip}:{READINESS}","Control":"{ip}:{CONTROL}","Directory":"{ip}:{DIRECTORY}"}},
"InternalPorts":[{first},{last}],"Seeds":[{seeds}],"Bootstrap":{is_first},"InFailureBudget":false,
"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"FileDescriptors":4100,"LinkMbps":1000.0,"DiskMb":0}},
"DataDir":null,"Discovery":"platform","Entry":"directory","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","retry","recover","split","stream","engine","tenants","leader","platform"],
"Tolerate":{{"Machines":2,"Zones":0,"Regions":0}},
"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigMs":2000,"RollbackSlackMs":250,"OuterMs":5000,"StrictRevoke":false,"RevokeMs":5000,"RetryRatio":0.2,"BudgetWindowS":10,"RetrySlack":52,"RequireFence":true,"LeaseMs":3000,"ThawMs":300,"ReportWindowS":5,"UsageOff":0.05,"UsageLateS":10,"RecoverS":12,"TransitMs":120,"ReuseWindowS":10,"ttl_max_s":5}},
"Platform":{{"Address":"{store}","form":"log","WritesPerS":400,"ReadsPerS":2000,"parts":12,"AppendMs":2.0,"PartitionMbS":20.0,"ReadMbS":80.0,"RecordBytes":262144,"CallBytes":2097152,"keep_s":300,"PartitionMb":200,"TtlMinMs":1000}},
"Cloud":{{"Address":"{cloud}","RatePerS":50.0,"Duties":["usage","autoscale"],"DutyPerS":50.0}}}}
"#,
            zones = zones.join(","),
            seeds = self.seeds.join(","),
            store = self.places.store,
            cloud = self.places.cloud,
        );
        fs::write(&instance.settings, text)
    }

    /// Starts the process of a machine; `is_first` is `Bootstrap`.
    pub fn start(&mut self, at: usize, is_first: bool) -> io::Result<()> {
        self.write_settings(at, is_first)?;
        let instance = &mut self.instances[at];
        let log = File::options().create(true).append(true).open(&instance.log)?;
        let mut command = Command::new(&self.program);
        command
            .arg("platform")
            .env_clear()
            .env("MARIGOLDLOCK_BOOT", &instance.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.say(format!(
            "start {} ({}) as process {}",
            instance.name,
            instance.ip,
            child.id()
        ));
        instance.child = Some(child);
        Ok(())
    }

    fn signal(&self, at: usize, signal: i32) {
        if let Some(child) = &self.instances[at].child {
            // SAFETY: a plain system call on a child that was not waited for yet, so its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self, at: usize) {
        self.record.say(format!("SIGTERM {}", self.instances[at].name));
        self.signal(at, SIGTERM);
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, at: usize) {
        self.record.say(format!("SIGKILL {}", self.instances[at].name));
        if let Some(mut child) = self.instances[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the end of a process after SIGTERM; kills it after the grace time.
    pub fn wait(&mut self, at: usize, grace: Duration) {
        let due = Instant::now() + grace;
        while Instant::now() < due {
            if self.poll_exit(at).is_some() {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.kill(at);
    }

    /// Exit status of a process, if it has ended.
    pub fn poll_exit(&mut self, at: usize) -> Option<String> {
        let child = self.instances[at].child.as_mut()?;
        let status = child.try_wait().ok()??;
        self.instances[at].child = None;
        let text = status.to_string();
        self.record
            .say(format!("{} has ended: {text}", self.instances[at].name));
        Some(text)
    }

    /// Waits until all started instances are ready; false after `timeout`.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let due = Instant::now() + timeout;
        loop {
            let started = self.instances.iter().filter(|instance| instance.child.is_some());
            if started.clone().all(Instance::is_ready) {
                return true;
            }
            if Instant::now() >= due {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn position(&self, name: &str) -> Option<usize> {
        self.instances.iter().position(|instance| instance.name == name)
    }

    /// Log lines of an instance that contain `text`.
    pub fn log_lines(&self, at: usize, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.instances[at].log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        match std::env::var_os("REVIEW_KEEP_LOGS") {
            Some(_) => println!("logs: {}", self.folder.display()),
            None => {
                let _ = fs::remove_dir_all(&self.folder);
            }
        }
    }
}

fn is_free(ip: Ipv4Addr) -> bool {
    [FRONT, READINESS, CONTROL, DIRECTORY, METRICS, INTERNAL[0]]
        .iter()
        .all(|port| TcpListener::bind((ip, *port)).is_ok())
}
