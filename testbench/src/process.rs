//! Resource usage of processes, their threads and the machine's memory, read from /proc (proc(5)).

use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

/// Memory, descriptors and disk writes of a process.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Resident memory, KiB.
    pub resident_kib: u64,
    /// Open file descriptors.
    pub descriptors: u64,
    /// File descriptors that are sockets.
    pub sockets: u64,
    /// Bytes that it has caused to be written to disk (`write_bytes`).
    pub written: u64,
}

fn folder(process: u32) -> PathBuf {
    Path::new("/proc").join(process.to_string())
}

fn missing_number(key: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("no number for {key} in /proc"),
    )
}

/// Parses the number after a key at the beginning of a line; a unit of kB is ignored.
fn number_after(text: &str, key: &str) -> io::Result<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix(key));
    let value = value.map(|value| value.trim().trim_end_matches(" kB"));
    value
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| missing_number(key))
}

/// Reads the usage of a process.
///
/// # Errors
///
/// The process has exited, or its files in /proc could not be read or parsed.
pub fn usage(process: u32) -> io::Result<Usage> {
    let folder = folder(process);
    let mut found = Usage {
        resident_kib: resident_kib(process)?,
        written: number_after(&std::fs::read_to_string(folder.join("io"))?, "write_bytes:")?,
        ..Usage::default()
    };
    for entry in std::fs::read_dir(folder.join("fd"))? {
        found.descriptors += 1;
        // A descriptor that was closed since the directory was listed does not count as a socket.
        let target = std::fs::read_link(entry?.path()).unwrap_or_default();
        found.sockets += u64::from(target.to_string_lossy().starts_with("socket:"));
    }
    Ok(found)
}

/// Resident memory of a process, KiB.
///
/// # Errors
///
/// The process has exited, or its files in /proc could not be read or parsed.
pub fn resident_kib(process: u32) -> io::Result<u64> {
    number_after(
        &std::fs::read_to_string(folder(process).join("status"))?,
        "VmRSS:",
    )
}

/// Resident memory of a process that no file backs, KiB: the kernel can't reclaim it, and it counts towards memory
/// limits.
///
/// # Errors
///
/// The process has exited, or its files in /proc could not be read or parsed.
pub fn anonymous_kib(process: u32) -> io::Result<u64> {
    number_after(
        &std::fs::read_to_string(folder(process).join("status"))?,
        "RssAnon:",
    )
}

/// The number of open file descriptors of a process.
///
/// # Errors
///
/// The process has exited, or its files in /proc could not be read or parsed.
pub fn descriptors(process: u32) -> io::Result<usize> {
    Ok(std::fs::read_dir(folder(process).join("fd"))?.count())
}

/// The threads of a process: id and name.
///
/// # Errors
///
/// The process has exited, or its files in /proc could not be read or parsed.
pub fn threads(process: u32) -> io::Result<Vec<(u32, String)>> {
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder(process).join("task"))? {
        let entry = entry?;
        let number = entry.file_name().to_string_lossy().parse();
        // A thread may have ended since the directory was listed.
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
        .ok_or_else(|| missing_number("schedstat"))
}

/// CPU time of a thread, nanoseconds.
///
/// # Errors
///
/// The process has exited, or its files in /proc could not be read or parsed.
pub fn thread_cpu_ns(process: u32, thread: u32) -> io::Result<u64> {
    scheduled_ns(&folder(process).join("task").join(thread.to_string()))
}

/// CPU time of all threads of a process that have not ended, nanoseconds. It is read from `schedstat`, as the clock
/// ticks of `stat` are too coarse for a few seconds of low load.
///
/// # Errors
///
/// The process has exited, or its files in /proc could not be read or parsed.
pub fn cpu_ns(process: u32) -> io::Result<u64> {
    let tasks = std::fs::read_dir(folder(process).join("task"))?;
    tasks.map(|task| scheduled_ns(&task?.path())).sum()
}

/// Memory of the machine that is available to new processes without swapping (`MemAvailable`), KiB.
///
/// # Errors
///
/// /proc/meminfo could not be read or has no number for `MemAvailable`.
pub fn available_kib() -> io::Result<u64> {
    number_after(&std::fs::read_to_string("/proc/meminfo")?, "MemAvailable:")
}
