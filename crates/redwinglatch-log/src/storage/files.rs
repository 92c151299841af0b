//! The file operations that the storage uses.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::Path,
    sync::Arc,
};

type PathFn<T> = Box<dyn Fn(&Path) -> io::Result<T> + Send>;
type RenameFn = Box<dyn Fn(&Path, &Path) -> io::Result<()> + Send>;
type WriteFn = Box<dyn FnMut(&[u8]) -> io::Result<()> + Send>;

/// The file operations that the storage uses, as closures so that tests can inject faults.
pub struct FileOps {
    /// Creates a folder and its parents if they are missing.
    pub create_dir: PathFn<()>,
    /// Locks a folder against other processes; `None` if another process has locked it.
    pub lock_dir: PathFn<Option<FolderLock>>,
    /// Lists the names of the files in a folder.
    pub list: PathFn<Vec<String>>,
    /// Reads a whole file.
    pub read: PathFn<Vec<u8>>,
    /// Opens a file for appending and creates it if it is missing.
    pub open: PathFn<OpenFile>,
    /// Renames a file, replacing any file with the new name.
    pub rename: RenameFn,
    /// Removes a file.
    pub remove: PathFn<()>,
    /// Makes created, renamed and removed names in a folder durable.
    pub sync_dir: PathFn<()>,
}

/// The lock of a folder, released on drop.
#[derive(Debug, Default)]
pub struct FolderLock {
    _file: Option<File>,
}

/// The operations on a file that is open for appending.
pub struct OpenFile {
    /// Appends all bytes.
    pub write: WriteFn,
    /// Makes the content durable.
    pub sync: Box<dyn FnMut() -> io::Result<()> + Send>,
    /// Truncates the file to a size in bytes.
    pub truncate: Box<dyn FnMut(u64) -> io::Result<()> + Send>,
}

impl FileOps {
    /// Returns the operations of the operating system.
    #[must_use]
    pub fn os() -> FileOps {
        FileOps {
            create_dir: Box::new(create_dir),
            lock_dir: Box::new(lock_dir),
            list: Box::new(list),
            read: Box::new(|path| fs::read(path)),
            open: Box::new(open),
            rename: Box::new(|from, to| fs::rename(from, to)),
            remove: Box::new(|path| fs::remove_file(path)),
            sync_dir: Box::new(sync_dir),
        }
    }
}

/// Creates a folder and its missing parents; syncs the parent of each created folder.
fn create_dir(path: &Path) -> io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    let parent = path.parent().unwrap_or(Path::new(""));
    if !parent.as_os_str().is_empty() {
        create_dir(parent)?;
    }
    fs::create_dir(path)?;
    sync_dir(parent)
}

/// Syncs a folder; the empty path is the current folder.
fn sync_dir(path: &Path) -> io::Result<()> {
    let path = if path.as_os_str().is_empty() { Path::new(".") } else { path };
    File::open(path)?.sync_all()
}

fn lock_dir(path: &Path) -> io::Result<Option<FolderLock>> {
    let file =
        OpenOptions::new().create(true).truncate(false).write(true).open(path.join("lock"))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(FolderLock { _file: Some(file) })),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

fn list(path: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(path)? {
        if let Ok(name) = entry?.file_name().into_string() {
            names.push(name);
        }
    }
    Ok(names)
}

fn open(path: &Path) -> io::Result<OpenFile> {
    let file = OpenOptions::new().create(true).append(true).open(path)?;
    let file = Arc::new(file);
    let (writer, syncer) = (Arc::clone(&file), Arc::clone(&file));
    Ok(OpenFile {
        write: Box::new(move |bytes| (&*writer).write_all(bytes)),
        sync: Box::new(move || syncer.sync_data()),
        truncate: Box::new(move |size_bytes| file.set_len(size_bytes)),
    })
}
