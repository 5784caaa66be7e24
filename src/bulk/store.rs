//! Content-addressed pieces, one file each, named by digest.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, UNIX_EPOCH};

use bytes::Bytes;
use snafu::{ResultExt, Snafu};

use crate::id;
use crate::util::lock;

/// Why a piece was not stored.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("the content does not match the digest {digest}"))]
    Digest { digest: String },
    #[snafu(display("size limit reached: {used} of {max} bytes are used"))]
    Full { used: u64, max: u64 },
    #[snafu(display("disk error: {source}"))]
    Disk { source: io::Error },
}

/// The pieces in one folder.
pub struct Store {
    folder: PathBuf,
    max_bytes: u64,
    /// Size of each piece by digest. Invariant: a listed piece is complete on disk.
    pieces: Mutex<HashMap<String, u64>>,
    next_temporary: AtomicU64,
}

impl Store {
    /// Opens a folder and removes the partial files of a process that died while writing.
    pub fn open(folder: &Path, max_bytes: u64) -> io::Result<Store> {
        fs::create_dir_all(folder)?;
        let mut pieces = HashMap::new();
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if is_digest(&name) {
                pieces.insert(name, entry.metadata()?.len());
            } else if name.ends_with(".part") {
                fs::remove_file(entry.path())?;
            }
        }
        let pieces = Mutex::new(pieces);
        Ok(Store {
            folder: folder.into(),
            max_bytes,
            pieces,
            next_temporary: AtomicU64::new(0),
        })
    }

    /// Total bytes of all pieces.
    pub fn bytes(&self) -> u64 {
        lock(&self.pieces).values().sum()
    }

    /// Number of pieces.
    pub fn count(&self) -> usize {
        lock(&self.pieces).len()
    }

    /// The digests of all pieces.
    pub fn digests(&self) -> Vec<String> {
        lock(&self.pieces).keys().cloned().collect()
    }

    /// Whether a piece is stored.
    pub fn has(&self, digest: &str) -> bool {
        lock(&self.pieces).contains_key(digest)
    }

    /// Stores a piece; it is on disk when this returns.
    ///
    /// The content is synced before the file is renamed to its digest, and the folder afterwards.
    /// Without this, a power loss right after the acknowledgement could leave a named file without
    /// its content.
    pub fn put(&self, digest: &str, content: &[u8]) -> Result<(), Error> {
        if !is_digest(digest) || id::digest(content) != digest {
            return DigestSnafu { digest }.fail();
        }
        if self.has(digest) {
            return Ok(());
        }
        let used = self.bytes();
        if used + content.len() as u64 > self.max_bytes {
            return FullSnafu {
                used,
                max: self.max_bytes,
            }
            .fail();
        }
        let number = self.next_temporary.fetch_add(1, Ordering::SeqCst);
        let part = self.folder.join(format!("{digest}.{number}.part"));
        if let Err(source) = self.write_file(&part, digest, content) {
            let _ = fs::remove_file(&part);
            return Err(Error::Disk { source });
        }
        lock(&self.pieces).insert(digest.to_owned(), content.len() as u64);
        Ok(())
    }

    fn write_file(&self, part: &Path, digest: &str, content: &[u8]) -> io::Result<()> {
        let mut file = File::create(part)?;
        file.write_all(content)?;
        file.sync_all()?;
        fs::rename(part, self.folder.join(digest))?;
        File::open(&self.folder)?.sync_all()
    }

    /// Reads a piece. A piece whose content does not match its digest is removed, so that repair
    /// restores it.
    pub fn get(&self, digest: &str) -> Option<Bytes> {
        if !self.has(digest) {
            return None;
        }
        let content = fs::read(self.folder.join(digest)).ok();
        let whole = content.filter(|content| id::digest(content) == digest);
        if whole.is_none() {
            let _ = self.remove(digest);
        }
        whole.map(Bytes::from)
    }

    fn remove(&self, digest: &str) -> Result<(), Error> {
        lock(&self.pieces).remove(digest);
        fs::remove_file(self.folder.join(digest)).context(DiskSnafu)
    }

    /// Removes pieces older than `retention` at the wall-clock time `now`; returns the number
    /// removed.
    pub fn remove_older(&self, now: Duration, retention: Duration) -> usize {
        let old = |digest: &String| {
            let metadata = fs::metadata(self.folder.join(digest)).ok()?;
            let written = metadata.modified().ok()?.duration_since(UNIX_EPOCH).ok()?;
            Some(written + retention < now)
        };
        let gone: Vec<String> = self
            .digests()
            .into_iter()
            .filter(|digest| old(digest) == Some(true))
            .collect();
        gone.iter()
            .filter(|digest| self.remove(digest).is_ok())
            .count()
    }
}

fn is_digest(name: &str) -> bool {
    name.len() == 64
        && name
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}
