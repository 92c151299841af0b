//! Files of records, each of which is removed once its streams have ended.

use std::{
    collections::VecDeque,
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
};

use crate::ids::{SoftwareVersion, StreamKey};

use super::StreamRecord;

/// Prefix of the names of files; a number follows.
const FILE_PREFIX: &str = "streams-";
/// Size of a record: the keys of the stream and of its version, and the checksum of both.
const RECORD_BYTES: usize = 20;
/// Records of a file beyond which no more are written.
const MAX_RECORDS_PER_FILE: usize = 100_000;

/// A file that is complete.
#[derive(Debug)]
struct ClosedFile {
    number: u64,
    closed_ms: u64,
}

/// The file to which records are appended, and those before it.
#[derive(Debug)]
pub(super) struct RecordFiles {
    folder: PathBuf,
    closed: VecDeque<ClosedFile>,
    number: u64,
    /// The newest file; it is created with its first record.
    current: Option<File>,
    opened_ms: u64,
    records: usize,
    /// Whether the newest file may end in a part of a record, behind which no other could be read.
    is_torn: bool,
}

impl RecordFiles {
    /// Opens the files of earlier processes and returns their records.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be read. A file that can't be read is ignored.
    pub(super) fn open(folder: &Path, now_ms: u64) -> io::Result<(RecordFiles, Vec<StreamRecord>)> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(folder)? {
            let name = entry?.file_name();
            let number = name.to_str().and_then(|name| name.strip_prefix(FILE_PREFIX));
            numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
        }
        numbers.sort_unstable();
        let mut records = Vec::new();
        for number in &numbers {
            match fs::read(path(folder, *number)) {
                Ok(bytes) => records.extend(decode(&bytes)),
                Err(error) => log::warn!("core: cannot read {FILE_PREFIX}{number}: {error}"),
            }
        }
        let files = RecordFiles {
            folder: folder.to_owned(),
            number: numbers.last().map_or(1, |last| last + 1),
            // Their ages aren't known, since clocks start anew with the process.
            closed: numbers
                .into_iter()
                .map(|number| ClosedFile { number, closed_ms: now_ms })
                .collect(),
            current: None,
            opened_ms: now_ms,
            records: 0,
            is_torn: false,
        };
        Ok((files, records))
    }

    /// Appends and syncs records, and removes files whose streams have ended.
    ///
    /// # Errors
    ///
    /// Fails if the disk does. The records may be lost then.
    pub(super) fn append(
        &mut self,
        now_ms: u64,
        lifetime_ms: u64,
        records: &[StreamRecord],
    ) -> io::Result<()> {
        self.remove_old(now_ms, lifetime_ms);
        if self.current.is_some() && self.opened_ms + lifetime_ms <= now_ms {
            self.current = None;
            self.closed.push_back(ClosedFile { number: self.number, closed_ms: now_ms });
            self.number += 1;
        }
        let file = match &mut self.current {
            Some(file) => file,
            None => {
                let path = path(&self.folder, self.number);
                let file = OpenOptions::new().create(true).append(true).open(path)?;
                (self.opened_ms, self.records, self.is_torn) = (now_ms, 0, false);
                self.current.insert(file)
            }
        };
        if self.is_torn {
            file.set_len((self.records * RECORD_BYTES) as u64)?;
        }
        self.is_torn = true;
        let room = MAX_RECORDS_PER_FILE.saturating_sub(self.records);
        let written = &records[..records.len().min(room)];
        let bytes: Vec<u8> = written.iter().flat_map(encode).collect();
        file.write_all(&bytes)?;
        file.sync_data()?;
        self.is_torn = false;
        self.records += written.len();
        Ok(())
    }

    fn remove_old(&mut self, now_ms: u64, lifetime_ms: u64) {
        while let Some(oldest) = self.closed.front()
            && oldest.closed_ms + lifetime_ms <= now_ms
        {
            if let Err(error) = fs::remove_file(path(&self.folder, oldest.number)) {
                log::warn!("core: cannot remove {FILE_PREFIX}{}: {error}", oldest.number);
            }
            self.closed.pop_front();
        }
    }
}

fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{FILE_PREFIX}{number}"))
}

fn encode((stream, version): &StreamRecord) -> [u8; RECORD_BYTES] {
    let mut bytes = [0; RECORD_BYTES];
    bytes[..8].copy_from_slice(&stream.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&version.0.to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..16]);
    bytes[16..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes the records of a file. Those that a loss of power has torn are left out.
fn decode(bytes: &[u8]) -> impl Iterator<Item = StreamRecord> {
    let (records, _torn) = bytes.as_chunks::<RECORD_BYTES>();
    records.iter().filter_map(|record| {
        let (keys, checksum) = record.split_at(16);
        if crc32fast::hash(keys).to_le_bytes() != *checksum {
            return None;
        }
        let (stream, version) = keys.split_at(8);
        let key = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().expect("eight bytes"));
        Some((StreamKey(key(stream)), SoftwareVersion(key(version))))
    })
}

#[cfg(test)]
mod tests;
