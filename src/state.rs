//! The task that gives [`learning`] its disk: reads at the start, writes while the program
//! runs, and never lets anyone wait for either.
//!
//! Whatever the disk does is done on a thread of its own. Pictures come through a watch, so that the latest
//! wins while a slow disk is busy. A disk that fails is tried again after a pause that doubles; it is said once
//! when it begins and once when it ends.

use crate::config::State;
use crate::interface::Micros;
use crate::learning::{self, LearnedState, RestoredState};
use crate::store::{Disk, Folder, Header, Loaded, OpenError, Snapshots};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::watch;
use tokio::task::{spawn_blocking, JoinHandle};
use tokio::time::{sleep, timeout, Duration};

/// The name of the file with what was learnt.
pub const LEARNING: &str = "learning";
/// A start waits no longer for its disk, and goes without what was kept.
const LOAD_MOST: Duration = Duration::from_millis(500);
/// A disk that fails is tried again after this, then after twice that,
const RETRY: Duration = Duration::from_secs(1);
/// ... up to this.
const RETRY_MOST: Duration = Duration::from_secs(60);

/// The snapshots of what was learnt.
pub fn snapshots() -> Snapshots {
    Snapshots::new(LEARNING, learning::KIND)
}

/// Reads a payload, as [`Snapshots::load`] wants it.
pub fn accept(header: Header, payload: &[u8]) -> Result<LearnedState, String> {
    learning::decode(header.version, payload)
}

/// The state folder with the file in it.
struct Keeper {
    path: PathBuf,
    disk: Option<Folder>,
    snapshots: Snapshots,
}

impl Keeper {
    fn new(path: &Path) -> Keeper {
        Keeper { path: path.into(), disk: None, snapshots: snapshots() }
    }

    /// Takes the folder, if it is not had yet, and reads what is there.
    fn open(&mut self) -> Opened {
        if self.disk.is_some() {
            return Ok(None);
        }
        let disk = self.disk.insert(Folder::open(&self.path)?);
        let loaded = self.snapshots.load(disk, accept);
        for aside in &loaded.set_aside {
            let to = aside.renamed_to.as_deref().unwrap_or("its own name, as it cannot be renamed");
            tracing::warn!(file = %aside.file, "state: {}; set aside as {to}", aside.error);
        }
        Ok(Some(loaded))
    }

    fn save(&mut self, picture: &LearnedState) -> Result<(), OpenError> {
        // A folder that was not to be had at the start may be there by now; what it holds is old.
        self.open()?;
        let Some(disk) = &mut self.disk else { return Ok(()) };
        let payload = learning::encode(picture);
        self.snapshots.save(disk, learning::VERSION, &payload)?;
        Ok(())
    }
}

/// What the start found, and the task that goes on from there.
pub struct Kept {
    /// What may be recalled.
    pub memory: Option<RestoredState>,
    keeper: Opening,
}

/// What was found, once: `None` where the folder was had before.
type Opened = Result<Option<Loaded<LearnedState>>, OpenError>;

enum Opening {
    Done(Keeper),
    Late(JoinHandle<(Keeper, Opened)>),
}

/// Reads what was kept, within a bounded time.
///
/// # Errors
/// The folder is in use by another process. Every other fault is logged, and the program runs without.
pub async fn load(state: &State, now: Micros) -> Result<Kept, OpenError> {
    let mut keeper = Keeper::new(&state.folder);
    let folder = state.folder.display();
    let mut opening = spawn_blocking(move || {
        let opened = keeper.open();
        (keeper, opened)
    });
    let Ok(opened) = timeout(LOAD_MOST, &mut opening).await else {
        tracing::warn!("state: {folder}: not read within {LOAD_MOST:?}; starting without it");
        return Ok(Kept { memory: None, keeper: Opening::Late(opening) });
    };
    let (keeper, loaded) = opened.map_err(|e| OpenError::Io(io::Error::other(e)))?;
    let memory = match loaded {
        Ok(loaded) => loaded.and_then(|loaded| take_up(loaded, state, now)),
        Err(OpenError::InUse) => return Err(OpenError::InUse),
        Err(error) => {
            tracing::warn!("state: {folder}: {error}; starting without it");
            None
        }
    };
    Ok(Kept { memory, keeper: Opening::Done(keeper) })
}

fn take_up(loaded: Loaded<LearnedState>, state: &State, now: Micros) -> Option<RestoredState> {
    let picture = loaded.value?;
    let age = (now - picture.at).secs();
    let (memory, taken) = RestoredState::new(picture, state.ageing.clone(), now);
    let what = match (taken.from_future, taken.too_old) {
        (true, _) => "none used: it claims to be from the future",
        (_, true) => "none used: it is too old",
        _ => "recalled",
    };
    let fallback = loaded.fallback;
    tracing::info!(hubs = taken.hubs, dropped = taken.dropped, age, fallback, "state: {what}");
    Some(memory)
}

/// Writes each picture that comes, the latest first, until no more can come. `saved` tells the time of the
/// last one that lasts.
pub async fn run(
    kept: Kept,
    mut pictures: watch::Receiver<Option<Arc<LearnedState>>>,
    saved: watch::Sender<Micros>,
) {
    let mut keeper = match kept.keeper {
        Opening::Done(keeper) => keeper,
        // The disk was slow at the start: it is waited for here, where nobody minds.
        Opening::Late(opening) => match opening.await {
            Ok((keeper, _)) => keeper,
            Err(_) => return,
        },
    };
    let mut pause = None;
    while pictures.changed().await.is_ok() {
        let Some(picture) = pictures.borrow_and_update().clone() else { continue };
        let at = picture.at;
        let writing = spawn_blocking(move || {
            let done = keeper.save(&picture);
            (keeper, done)
        });
        let Ok((back, done)) = writing.await else { return };
        keeper = back;
        match done {
            Ok(()) => {
                if pause.take().is_some() {
                    tracing::info!("state: kept again");
                }
                saved.send_replace(at);
            }
            Err(failure) => {
                if pause.is_none() {
                    tracing::warn!("state: not kept: {failure}; calls go on, and it is tried again");
                }
                let wait = pause.map_or(RETRY, |p: Duration| (p * 2).min(RETRY_MOST));
                pause = Some(wait);
                sleep(wait).await;
            }
        }
    }
}

/// Removes what was learnt from a folder that no process has.
pub fn forget(path: &Path) -> Result<(), OpenError> {
    let mut folder = Folder::open(path)?;
    Ok(snapshots().remove_all(&mut folder)?)
}

/// The files that may hold what was learnt, with what each is worth, changing nothing.
pub fn examine(path: &Path) -> io::Result<Vec<Examined>> {
    let mut folder = Folder::open_read_only(path)?;
    let snapshots = snapshots();
    let in_use = snapshots.files();
    let mut names = folder.file_names()?;
    names.retain(|n| n.starts_with(&format!("{LEARNING}.bad-")));
    names.sort();
    let mut examined = Vec::new();
    for (nth, file) in in_use.into_iter().chain(names).enumerate() {
        let read = snapshots.check(&mut folder, &file, &mut accept);
        examined.extend(read.map(|read| Examined {
            file,
            used: nth < 2,
            read: read.map_err(|f| f.to_string()),
        }));
    }
    Ok(examined)
}

/// One file of a state folder.
#[derive(Debug)]
pub struct Examined {
    /// Its name.
    pub file: String,
    /// A start would look at it; else it was set aside.
    pub used: bool,
    /// What it holds, or what is wrong with it.
    pub read: Result<(Header, LearnedState), String>,
}
