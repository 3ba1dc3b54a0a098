//! What Linux says of processes, their threads, and the machine's memory (proc(5)).

use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

/// What a process holds, and has written.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Resident memory, KiB.
    pub resident_kib: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Those of them that are sockets.
    pub sockets: u64,
    /// Bytes that it had written to disks.
    pub written: u64,
}

fn folder(process: u32) -> PathBuf {
    Path::new("/proc").join(process.to_string())
}

fn no_number(key: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("no number after {key}"))
}

/// The number after a key at the beginning of a line, without its unit.
fn number_after(text: &str, key: &str) -> io::Result<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix(key));
    let value = value.map(|value| value.trim().trim_end_matches(" kB"));
    value
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| no_number(key))
}

/// Reads what a process holds.
///
/// # Errors
///
/// The process is gone, or what the system says of it makes no sense.
pub fn usage(process: u32) -> io::Result<Usage> {
    let folder = folder(process);
    let mut found = Usage {
        resident_kib: resident_kib(process)?,
        written: number_after(&std::fs::read_to_string(folder.join("io"))?, "write_bytes:")?,
        ..Usage::default()
    };
    for entry in std::fs::read_dir(folder.join("fd"))? {
        found.descriptors += 1;
        // One that was closed meanwhile is no socket any more.
        let target = std::fs::read_link(entry?.path()).unwrap_or_default();
        found.sockets += u64::from(target.to_string_lossy().starts_with("socket:"));
    }
    Ok(found)
}

/// Resident memory of a process, KiB.
///
/// # Errors
///
/// The process is gone, or what the system says of it makes no sense.
pub fn resident_kib(process: u32) -> io::Result<u64> {
    number_after(
        &std::fs::read_to_string(folder(process).join("status"))?,
        "VmRSS:",
    )
}

/// Memory that a process has touched and that no file backs, KiB: what a limit on memory counts and nobody can take back.
///
/// # Errors
///
/// The process is gone, or what the system says of it makes no sense.
pub fn anonymous_kib(process: u32) -> io::Result<u64> {
    number_after(
        &std::fs::read_to_string(folder(process).join("status"))?,
        "RssAnon:",
    )
}

/// Descriptors that a process holds.
///
/// # Errors
///
/// The process is gone, or what the system says of it makes no sense.
pub fn descriptors(process: u32) -> io::Result<usize> {
    Ok(std::fs::read_dir(folder(process).join("fd"))?.count())
}

/// The threads of a process: their number and name.
///
/// # Errors
///
/// The process is gone, or what the system says of it makes no sense.
pub fn threads(process: u32) -> io::Result<Vec<(u32, String)>> {
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder(process).join("task"))? {
        let entry = entry?;
        let number = entry.file_name().to_string_lossy().parse();
        // A thread may have ended since the folder was listed.
        if let (Ok(number), Ok(name)) = (number, std::fs::read_to_string(entry.path().join("comm")))
        {
            all.push((number, name.trim().to_owned()));
        }
    }
    Ok(all)
}

fn scheduled_ns(task: &Path) -> io::Result<u64> {
    let text = std::fs::read_to_string(task.join("schedstat"))?;
    text.split_whitespace()
        .next()
        .and_then(|word| word.parse().ok())
        .ok_or_else(|| no_number("schedstat"))
}

/// Nanoseconds that a thread has run on a processor.
///
/// # Errors
///
/// The process is gone, or what the system says of it makes no sense.
pub fn thread_cpu_ns(process: u32, thread: u32) -> io::Result<u64> {
    scheduled_ns(&folder(process).join("task").join(thread.to_string()))
}

/// Nanoseconds that all threads of a process that still run have run on a processor: the scheduler's own count, as the
/// ticks of `stat` are too coarse for a few seconds at little load.
///
/// # Errors
///
/// The process is gone, or what the system says of it makes no sense.
pub fn cpu_ns(process: u32) -> io::Result<u64> {
    let tasks = std::fs::read_dir(folder(process).join("task"))?;
    tasks.map(|task| scheduled_ns(&task?.path())).sum()
}

/// Memory that the machine could still give away, KiB.
///
/// # Errors
///
/// What the system says of its memory makes no sense.
pub fn available_kib() -> io::Result<u64> {
    number_after(&std::fs::read_to_string("/proc/meminfo")?, "MemAvailable:")
}
