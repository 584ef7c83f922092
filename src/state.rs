//! Saves the state of [`learning`] to disk while the program runs, and loads it at the start.
//!
//! Disk access runs on the blocking thread pool, so that no other task waits for it. States to save come through a
//! watch channel: while a slow disk is busy, only the latest is retained. Failed writes are retried after a delay that
//! doubles. The log has one message when writes begin to fail and one when they work again.

use crate::config::StateConfig;
use crate::interface::Micros;
use crate::learning::{self, LearnedState, RestoredState};
use crate::store::{Disk, Folder, Header, Loaded, OpenError, Snapshots};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::watch;
use tokio::task::{spawn_blocking, JoinHandle};
use tokio::time::{sleep, timeout, Duration};

/// Name of the file with the learned state.
pub const LEARNED_STATE_FILE: &str = "learning";
/// Time limit for loading the state. When it is over, the program starts without the state.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the first retry after a failed write; it doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay between retries after failed writes.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Returns the snapshot files of the learned state.
pub fn snapshots() -> Snapshots {
    Snapshots::new(LEARNED_STATE_FILE, learning::KIND)
}

/// Decodes the payload of a snapshot, in the form that [`Snapshots::load`] expects.
///
/// # Errors
/// The payload's version is unknown or its content is not valid.
pub fn decode_payload(header: Header, payload: &[u8]) -> Result<LearnedState, String> {
    learning::decode(header.version, payload)
}

/// Reads and writes the snapshots in the state folder.
struct StateStore {
    path: PathBuf,
    /// The open folder; `None` until it could be opened.
    folder: Option<Folder>,
    snapshots: Snapshots,
}

impl StateStore {
    fn new(path: &Path) -> StateStore {
        StateStore { path: path.into(), folder: None, snapshots: snapshots() }
    }

    /// Opens the folder and loads its state, unless it is open already.
    fn open(&mut self) -> OpenResult {
        if self.folder.is_some() {
            return Ok(None);
        }
        let folder = self.folder.insert(Folder::open(&self.path)?);
        let loaded = self.snapshots.load(folder, decode_payload);
        for aside in &loaded.set_aside {
            let to = aside.renamed_to.as_deref().unwrap_or("its own name, because it cannot be renamed");
            tracing::warn!(file = %aside.file, "state: {}; set aside as {to}", aside.error);
        }
        Ok(Some(loaded))
    }

    fn save(&mut self, learned: &LearnedState) -> Result<(), OpenError> {
        // A folder that could not be opened at the start may have become available. Its state is ignored, as it is
        // older than the current one.
        self.open()?;
        let Some(folder) = &mut self.folder else { return Ok(()) };
        let payload = learning::encode(learned);
        self.snapshots.save(folder, learning::VERSION, &payload)?;
        Ok(())
    }
}

/// The result of loading the state, for [`run`] to continue with.
pub struct StartupState {
    /// The state to restore, if there is any.
    pub restored: Option<RestoredState>,
    store: StoreOpening,
}

/// The loaded state, or `None` if the folder was open already.
type OpenResult = Result<Option<Loaded<LearnedState>>, OpenError>;

/// Progress of opening the store at the start.
enum StoreOpening {
    Done(StateStore),
    /// The disk did not answer within [`LOAD_TIMEOUT`].
    Pending(JoinHandle<(StateStore, OpenResult)>),
}

/// Loads the saved state within a bounded time.
///
/// # Errors
/// The folder is in use by another process, or the loading thread failed. Every other fault is logged, and the program
/// starts without saved state.
pub async fn load(state: &StateConfig, now: Micros) -> Result<StartupState, OpenError> {
    let mut store = StateStore::new(&state.folder);
    let folder = state.folder.display();
    let mut opening = spawn_blocking(move || {
        let opened = store.open();
        (store, opened)
    });
    let Ok(opened) = timeout(LOAD_TIMEOUT, &mut opening).await else {
        tracing::warn!("state: {folder}: not read within {LOAD_TIMEOUT:?}; starting without it");
        return Ok(StartupState { restored: None, store: StoreOpening::Pending(opening) });
    };
    let (store, loaded) = opened.map_err(|e| OpenError::Io(io::Error::other(e)))?;
    let restored = match loaded {
        Ok(loaded) => loaded.and_then(|loaded| restore(loaded, state, now)),
        Err(OpenError::InUse) => return Err(OpenError::InUse),
        Err(error) => {
            tracing::warn!("state: {folder}: {error}; starting without it");
            None
        }
    };
    Ok(StartupState { restored, store: StoreOpening::Done(store) })
}

/// Prepares the loaded state for restoring and logs how much of it is used.
fn restore(loaded: Loaded<LearnedState>, state: &StateConfig, now: Micros) -> Option<RestoredState> {
    let learned = loaded.value?;
    let age = (now - learned.at).secs();
    let (restored, summary) = RestoredState::new(learned, state.decay.clone(), now);
    let what = match (summary.from_future, summary.too_old) {
        (true, _) => "not used: its time lies in the future",
        (_, true) => "not used: it is too old",
        _ => "recalled",
    };
    let fallback = loaded.fallback;
    tracing::info!(hubs = summary.hubs, dropped = summary.dropped, age, fallback, "state: {what}");
    Some(restored)
}

/// Saves the latest state from `updates` whenever it changes, until the sender is dropped. `saved_at` receives the time
/// of each state that was written to disk.
pub async fn run(
    startup: StartupState,
    mut updates: watch::Receiver<Option<Arc<LearnedState>>>,
    saved_at: watch::Sender<Micros>,
) {
    let mut store = match startup.store {
        StoreOpening::Done(store) => store,
        // The disk was slow at the start. Waiting for it here delays nothing else.
        StoreOpening::Pending(opening) => match opening.await {
            Ok((store, _)) => store,
            Err(_) => return,
        },
    };
    let mut retry_delay = None;
    while updates.changed().await.is_ok() {
        let Some(learned) = updates.borrow_and_update().clone() else { continue };
        let at = learned.at;
        let writing = spawn_blocking(move || {
            let result = store.save(&learned);
            (store, result)
        });
        let Ok((returned_store, result)) = writing.await else { return };
        store = returned_store;
        match result {
            Ok(()) => {
                if retry_delay.take().is_some() {
                    tracing::info!("state: kept again");
                }
                saved_at.send_replace(at);
            }
            Err(failure) => {
                if retry_delay.is_none() {
                    tracing::warn!("state: not kept: {failure}; calls continue, and the write is retried");
                }
                let delay = retry_delay.map_or(MIN_RETRY_DELAY, |d: Duration| (d * 2).min(MAX_RETRY_DELAY));
                retry_delay = Some(delay);
                sleep(delay).await;
            }
        }
    }
}

/// Removes the learned state from a folder that no process uses.
///
/// # Errors
/// The folder is in use by another process or cannot be changed.
pub fn forget(path: &Path) -> Result<(), OpenError> {
    let mut folder = Folder::open(path)?;
    Ok(snapshots().remove_all(&mut folder)?)
}

/// Checks every file that may hold learned state, including those that were set aside. Changes no file.
///
/// # Errors
/// The folder cannot be read.
pub fn check_files(path: &Path) -> io::Result<Vec<CheckedFile>> {
    let mut folder = Folder::open_read_only(path)?;
    let snapshots = snapshots();
    let loadable = snapshots.files();
    let mut set_aside = folder.file_names()?;
    set_aside.retain(|n| n.starts_with(&format!("{LEARNED_STATE_FILE}.bad-")));
    set_aside.sort();
    let mut checked = Vec::new();
    for (nth, file) in loadable.into_iter().chain(set_aside).enumerate() {
        let read = snapshots.check(&mut folder, &file, &mut decode_payload);
        checked.extend(read.map(|read| CheckedFile {
            file,
            loadable: nth < 2,
            content: read.map_err(|f| f.to_string()),
        }));
    }
    Ok(checked)
}

/// A file of a state folder and the result of its check.
#[derive(Debug)]
pub struct CheckedFile {
    /// Its name.
    pub file: String,
    /// Whether a start tries to load it. Other files were set aside because they were faulty.
    pub loadable: bool,
    /// Its content, or why it cannot be used.
    pub content: Result<(Header, LearnedState), String>,
}
