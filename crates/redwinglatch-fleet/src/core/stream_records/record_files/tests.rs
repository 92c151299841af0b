use std::{
    fs::{self, OpenOptions},
    io::Write,
    path::PathBuf,
};

use quickcheck::quickcheck;

use super::{RecordFiles, StreamRecord, decode, encode, path};
use crate::ids::{SoftwareVersion, StreamKey};

const LIFETIME_MS: u64 = 30_000;

/// An empty folder that is removed with its files.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Folder {
        let name = format!("redwinglatch-records-{test}-{}", fastrand::u64(..));
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a folder for the test");
        Folder(folder)
    }

    fn open(&self, now_ms: u64) -> (RecordFiles, Vec<StreamRecord>) {
        RecordFiles::open(&self.0, now_ms).expect("the folder can be read")
    }

    fn files(&self) -> usize {
        fs::read_dir(&self.0).expect("the folder can be read").count()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that can't be removed doesn't affect other tests.
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn record(stream: u64) -> StreamRecord {
    (StreamKey(stream), SoftwareVersion(stream % 2))
}

#[test]
fn records_outlast_the_process() {
    let folder = Folder::new("kept");
    let (mut files, recorded) = folder.open(0);
    assert_eq!(recorded, []);
    assert_eq!(folder.files(), 0, "nothing is written without records");
    files.append(10, LIFETIME_MS, &[record(1), record(2)]).expect("written");
    files.append(20, LIFETIME_MS, &[record(3)]).expect("written");
    let (mut files, recorded) = folder.open(5);
    assert_eq!(recorded, [record(1), record(2), record(3)]);
    files.append(10, LIFETIME_MS, &[record(4)]).expect("written");
    assert_eq!(folder.open(0).1, [1, 2, 3, 4].map(record));
}

/// Streams end, and so do the files of their records.
#[test]
fn files_are_removed_after_the_lifetime_of_their_streams() {
    let folder = Folder::new("removed");
    let (mut files, _) = folder.open(0);
    for minute in 0..10 {
        files.append(minute * 60_000, LIFETIME_MS, &[record(minute)]).expect("written");
        assert!(folder.files() <= 2);
    }
    let (mut files, recorded) = folder.open(0);
    assert_eq!(recorded, [record(8), record(9)]);
    files.append(LIFETIME_MS, LIFETIME_MS, &[record(10)]).expect("written");
    assert_eq!(folder.open(0).1, [record(10)]);
}

/// A loss of power leaves part of the last write, or other bytes.
#[test]
fn torn_records_are_left_out() {
    let folder = Folder::new("torn");
    let (mut files, _) = folder.open(0);
    files.append(0, LIFETIME_MS, &[record(1)]).expect("written");
    let mut file = OpenOptions::new().append(true).open(path(&folder.0, 1)).expect("a file");
    file.write_all(&[7; 33]).expect("written");
    assert_eq!(folder.open(0).1, [record(1)]);
}

/// Guards against records that are lost long after the disk was full: a write that broke off leaves a part of a record,
/// behind which no other was read.
#[test]
fn records_behind_a_write_that_broke_off_are_read() {
    let folder = Folder::new("broken-off");
    let (mut files, _) = folder.open(0);
    files.append(0, LIFETIME_MS, &[record(1)]).expect("written");
    let path = path(&folder.0, 1);
    let writable = files.current.replace(fs::File::open(&path).expect("a file"));
    files.append(10, LIFETIME_MS, &[record(2)]).expect_err("the file can't be written");
    let mut file = OpenOptions::new().append(true).open(&path).expect("a file");
    file.write_all(&[7; 33]).expect("written");
    files.append(20, LIFETIME_MS, &[record(3)]).expect_err("the file can't be truncated");
    files.current = writable;
    files.append(30, LIFETIME_MS, &[record(4)]).expect("written");
    files.append(40, LIFETIME_MS, &[record(5)]).expect("written");
    assert_eq!(folder.open(0).1, [1, 4, 5].map(record));
}

quickcheck! {
    /// Guards against versions of streams that a damaged disk makes up.
    fn damaged_records_are_left_out(streams: Vec<u64>, damaged: Vec<(u16, u8)>, any: Vec<u8>) -> bool {
        let records: Vec<StreamRecord> = streams.into_iter().map(record).collect();
        let mut bytes: Vec<u8> = records.iter().flat_map(encode).collect();
        for (at, change) in damaged {
            let at = usize::from(at) % bytes.len().max(1);
            if let Some(byte) = bytes.get_mut(at) {
                *byte ^= change;
            }
        }
        decode(&bytes).all(|record| records.contains(&record)) && decode(&any).count() <= any.len()
    }
}
