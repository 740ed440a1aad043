//! The project's own instances as separate processes, on settings like those of a small deployment.

use std::ffi::c_int;
use std::fs::File;
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Client;

const SIGHUP: c_int = 1;

unsafe extern "C" {
    fn kill(process: c_int, signal: c_int) -> c_int;
}

const FRONT_PORT: u16 = 8368;
const READINESS_PORT: u16 = 8369;
const CONTROL_PORT: u16 = 8367;
const DIRECTORY_PORT: u16 = 8360;

/// Memory of a machine, in megabytes.
pub const MEMORY_MB: u64 = 260;

/// A machine with one process.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    folder: PathBuf,
    process: Option<Child>,
}

/// Addresses that a machine's settings name.
#[derive(Clone, Copy, Debug)]
pub struct PlatformAddresses {
    pub store: SocketAddr,
    pub duties: SocketAddr,
}

impl Machine {
    /// Creates a machine; `number` is unique in this run.
    pub fn new(name: &str, number: u8, folder: &PathBuf) -> Self {
        let [low, high, ..] = std::process::id().to_le_bytes();
        Self {
            name: name.to_owned(),
            ip: Ipv4Addr::new(127, 32 + high % 200, low, number),
            folder: folder.clone(),
            process: None,
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    fn readiness(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READINESS_PORT))
    }

    /// Writes the settings file.
    fn write_settings(&self, zone: &str, seeds: &[Ipv4Addr], addresses: PlatformAddresses, is_first: bool) -> Result<PathBuf> {
        let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
        let settings = format!(
            r#"{{"Node":"{name}","Role":"instance","MachineClass":"edge","Serves":["edge","control","directory"],
"Ip":"{ip}","Zone":"{zone}","Region":"pest","Zones":{{"pest-a":"pest","pest-b":"pest","pest-c":"pest"}},
"Listen":{{"Front":"{ip}:{FRONT_PORT}","Readiness":"{ip}:{READINESS_PORT}","Control":"{ip}:{CONTROL_PORT}","Directory":"{ip}:{DIRECTORY_PORT}"}},
"InternalPorts":[7780,7795],"Seeds":[{seeds}],"Bootstrap":{is_first},"InFailureBudget":false,
"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":{MEMORY_MB},"FileDescriptors":4100,"LinkMbps":1000.0,"DiskMb":0}},
"DataDir":null,"Discovery":"platform","Entry":"directory","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","retry","recover","split","stream","engine","tenants","leader","platform"],
"Tolerate":{{"Machines":2,"Zones":0,"Regions":0}},
"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,
"ConfigMs":2000,"RollbackSlackMs":250,"OuterMs":5000,"StrictRevoke":false,"RevokeMs":5000,"RetryRatio":0.2,"BudgetWindowS":10,
"RetrySlack":56,"RequireFence":true,"LeaseMs":3000,"ThawMs":300,"ReportWindowS":5,"UsageOff":0.05,"UsageLateS":10,"RecoverS":12,
"TransitMs":120,"ReuseWindowS":9.8,"ttl_max_s":5}},
"Platform":{{"Address":"{store}","form":"log","WritesPerS":400,"ReadsPerS":2000,"parts":12,"AppendMs":2.0,"PartitionMbS":20.0,
"ReadMbS":80.0,"RecordBytes":262144,"CallBytes":2097152,"keep_s":300,"PartitionMb":200,"TtlMinMs":1000}},
"Cloud":{{"Address":"{duties}","RatePerS":50.0,"Duties":["usage","autoscale"],"DutyPerS":50.0}}}}"#,
            name = self.name,
            ip = self.ip,
            seeds = seeds.join(","),
            store = addresses.store,
            duties = addresses.duties,
        );
        let path = self.folder.join(format!("{}.json", self.name));
        std::fs::write(&path, settings)?;
        Ok(path)
    }

    /// Writes changed settings and sends the signal that says so.
    pub fn change_settings(&self, zone: &str, seeds: &[Ipv4Addr], addresses: PlatformAddresses) -> Result<()> {
        self.write_settings(zone, seeds, addresses, false)?;
        if let Some(process) = &self.process {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(process.id() as c_int, SIGHUP) };
        }
        Ok(())
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, zone: &str, seeds: &[Ipv4Addr], addresses: PlatformAddresses, is_first: bool) -> Result<()> {
        let path = self.write_settings(zone, seeds, addresses, is_first)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))?;
        let mut command = Command::new("target/release/marigoldlock");
        command.arg("platform").env_clear().env("MARIGOLDLOCK_BOOT", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let process = command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log).spawn()?;
        self.process = Some(process);
        Ok(())
    }

    /// True once the platform's readiness check gets 200.
    pub fn is_ready(&self) -> bool {
        let mut client = Client::new(self.readiness(), Duration::from_secs(1));
        let answer = client.send("GET", "/ready", &[("Host", "x")], b"");
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the machine is ready; false if that takes too long.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > timeout {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Anonymous resident memory of the process, in bytes, without its program file; `None` if it does not run.
    pub fn memory(&self) -> Option<u64> {
        let process = self.process.as_ref()?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// True if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|process| matches!(process.try_wait(), Ok(Some(_))))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
