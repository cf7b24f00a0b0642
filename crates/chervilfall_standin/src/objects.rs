//! The object store.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};

use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{delete, get, post, put, Build, Rocket, State};

use crate::faults::{FaultState, PlatformFaults};
use crate::server::{build, Known, ServerSettings};

#[derive(Debug, Default)]
struct Objects {
    objects: Mutex<HashMap<PathBuf, String>>,
    faults: FaultState,
}

#[put("/from/<domain>/v1/objects/<name..>", data = "<content>")]
async fn put_object(
    _known: Known,
    store: &State<Objects>,
    domain: &str,
    name: PathBuf,
    content: String,
) -> Result<(), Status> {
    store.faults.before(domain).await?;
    let mut objects = store.objects.lock().unwrap_or_else(PoisonError::into_inner);
    objects.insert(name, content);
    store.faults.after_write()
}

#[get("/from/<domain>/v1/objects/<name..>")]
async fn get_object(
    _known: Known,
    store: &State<Objects>,
    domain: &str,
    name: PathBuf,
) -> Result<String, Status> {
    store.faults.before(domain).await?;
    let objects = store.objects.lock().unwrap_or_else(PoisonError::into_inner);
    objects.get(&name).cloned().ok_or(Status::NotFound)
}

#[delete("/from/<domain>/v1/objects/<name..>")]
async fn delete_object(
    _known: Known,
    store: &State<Objects>,
    domain: &str,
    name: PathBuf,
) -> Result<(), Status> {
    store.faults.before(domain).await?;
    let mut objects = store.objects.lock().unwrap_or_else(PoisonError::into_inner);
    objects.remove(&name);
    store.faults.after_write()
}

#[post("/faults", data = "<faults>")]
fn set_faults(store: &State<Objects>, faults: Json<PlatformFaults>) {
    store.faults.set(faults.into_inner());
}

/// Opens an empty object store.
#[must_use]
pub fn open_objects(settings: &ServerSettings) -> Rocket<Build> {
    build(settings).manage(Objects::default()).mount(
        "/",
        rocket::routes![put_object, get_object, delete_object, set_faults],
    )
}
