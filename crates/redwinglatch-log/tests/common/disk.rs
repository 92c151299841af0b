//! An in-memory disk that can lose unsynced data in a crash and inject faults.

use std::{
    collections::BTreeMap,
    io::{self, ErrorKind},
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard},
};

use redwinglatch_log::{FileOps, FolderLock, OpenFile};

#[derive(Default)]
struct Inode {
    current: Vec<u8>,
    synced: Vec<u8>,
}

/// A change of the names in the folder.
enum NameChange {
    Created(PathBuf, usize),
    Renamed { from: PathBuf, to: PathBuf, inode: usize },
    Removed(PathBuf),
}

#[derive(Default)]
pub struct DiskState {
    inodes: Vec<Inode>,
    names: BTreeMap<PathBuf, usize>,
    synced_names: BTreeMap<PathBuf, usize>,
    /// The changes since the folder was synced.
    unsynced_changes: Vec<NameChange>,
    /// The number of operations after which every further one fails.
    pub operations_until_crash: Option<u32>,
    pub syncs_fail: bool,
    /// Whether syncs report success without making anything durable.
    pub syncs_are_ignored: bool,
    pub capacity_bytes: Option<usize>,
}

impl DiskState {
    /// Counts an operation; fails once the injected crash is reached.
    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.operations_until_crash {
            Some(0) => Err(io::Error::other("the process has crashed")),
            Some(remaining) => {
                *remaining -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn inode(&mut self, path: &Path) -> io::Result<&mut Inode> {
        let inode = *self.names.get(path).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.inodes[inode])
    }

    fn used_bytes(&self) -> usize {
        self.names.values().map(|&inode| self.inodes[inode].current.len()).sum()
    }

    fn write(&mut self, inode: usize, bytes: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        let used_bytes = self.used_bytes();
        let free_bytes =
            self.capacity_bytes.map_or(bytes.len(), |capacity| capacity.saturating_sub(used_bytes));
        self.inodes[inode].current.extend_from_slice(&bytes[..free_bytes.min(bytes.len())]);
        if free_bytes < bytes.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, inode: Option<usize>) -> io::Result<()> {
        self.count_operation()?;
        if self.syncs_fail {
            return Err(io::Error::other("injected sync failure"));
        }
        match inode {
            _ if self.syncs_are_ignored => {}
            Some(inode) => self.inodes[inode].synced = self.inodes[inode].current.clone(),
            None => {
                self.synced_names = self.names.clone();
                self.unsynced_changes.clear();
            }
        }
        Ok(())
    }

    /// Keeps or loses each change of a name that was not synced, independently of the others.
    fn lose_unsynced_names(&mut self, rng: &mut fastrand::Rng) {
        for change in self.unsynced_changes.drain(..).filter(|_| rng.bool()) {
            match change {
                NameChange::Created(path, inode) => drop(self.synced_names.insert(path, inode)),
                // The new name stands for the file that was renamed, also if an earlier change of its old name is lost.
                NameChange::Renamed { from, to, inode } => {
                    self.synced_names.remove(&from);
                    self.synced_names.insert(to, inode);
                }
                NameChange::Removed(path) => drop(self.synced_names.remove(&path)),
            }
        }
        self.names = self.synced_names.clone();
    }
}

#[derive(Clone, Default)]
pub struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    pub fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap()
    }

    /// Simulates a power loss: drops some of the unsynced changes of names and a random part of the unsynced data,
    /// because the kernel may have written the rest already.
    pub fn crash(&self, rng: &mut fastrand::Rng) {
        self.end_faults();
        let state = &mut *self.state();
        state.lose_unsynced_names(rng);
        for Inode { current, synced } in &mut state.inodes {
            if current.starts_with(synced) {
                current.truncate(rng.usize(synced.len()..=current.len()));
            } else if rng.bool() {
                // Writes after an unsynced truncation may mix with the old content.
                current.truncate(rng.usize(0..=current.len()));
                current.extend_from_slice(synced.get(current.len()..).unwrap_or_default());
            }
            *synced = current.clone();
        }
    }

    pub fn end_faults(&self) {
        let mut state = self.state();
        state.operations_until_crash = None;
        state.syncs_fail = false;
        state.capacity_bytes = None;
    }

    /// Leaves room for some more bytes only.
    pub fn fill(&self, room_bytes: usize) {
        let mut state = self.state();
        let used_bytes = state.used_bytes();
        state.capacity_bytes = Some(used_bytes + room_bytes);
    }

    pub fn wipe(&self) {
        *self.state() = DiskState::default();
    }

    pub fn read(&self, path: &Path) -> Vec<u8> {
        self.state().inode(path).unwrap().current.clone()
    }

    pub fn overwrite(&self, path: &Path, bytes: Vec<u8>) {
        self.state().inode(path).unwrap().current = bytes;
    }

    /// Returns the paths of the files whose names start with `prefix`.
    pub fn names(&self, prefix: &str) -> Vec<PathBuf> {
        let has_prefix =
            |path: &&PathBuf| path.file_name().unwrap().to_str().unwrap().starts_with(prefix);
        self.state().names.keys().filter(has_prefix).cloned().collect()
    }

    pub fn files(&self) -> FileOps {
        let [list, read, open, rename, remove, sync_dir] = [(); 6].map(|()| self.clone());
        FileOps {
            create_dir: Box::new(|_| Ok(())),
            lock_dir: Box::new(|_| Ok(Some(FolderLock::default()))),
            list: Box::new(move |_| {
                let state = list.state();
                let names = state.names.keys().filter_map(|path| path.file_name()?.to_str());
                Ok(names.map(str::to_owned).collect())
            }),
            read: Box::new(move |path| Ok(read.state().inode(path)?.current.clone())),
            open: Box::new(move |path| {
                let mut state = open.state();
                state.count_operation()?;
                let next = state.inodes.len();
                let inode = *state.names.entry(path.to_owned()).or_insert(next);
                if inode == next {
                    state.inodes.push(Inode::default());
                    state.unsynced_changes.push(NameChange::Created(path.to_owned(), inode));
                }
                let [write, sync, truncate] = [(); 3].map(|()| open.clone());
                Ok(OpenFile {
                    write: Box::new(move |bytes| write.state().write(inode, bytes)),
                    sync: Box::new(move || sync.state().sync(Some(inode))),
                    truncate: Box::new(move |size_bytes| {
                        let mut state = truncate.state();
                        state.count_operation()?;
                        state.inodes[inode].current.truncate(usize::try_from(size_bytes).unwrap());
                        Ok(())
                    }),
                })
            }),
            rename: Box::new(move |from, to| {
                let mut state = rename.state();
                state.count_operation()?;
                let inode = state.names.remove(from).ok_or(ErrorKind::NotFound)?;
                state.names.insert(to.to_owned(), inode);
                let (from, to) = (from.to_owned(), to.to_owned());
                state.unsynced_changes.push(NameChange::Renamed { from, to, inode });
                Ok(())
            }),
            remove: Box::new(move |path| {
                let mut state = remove.state();
                state.count_operation()?;
                state.names.remove(path).ok_or(ErrorKind::NotFound)?;
                state.unsynced_changes.push(NameChange::Removed(path.to_owned()));
                Ok(())
            }),
            sync_dir: Box::new(move |_| sync_dir.state().sync(None)),
        }
    }
}
