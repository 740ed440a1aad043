//! A site of the users' platform, with instances in front of its upstreams.

#![allow(dead_code, reason = "each test binary uses only a part")]

use std::ops::{Deref, DerefMut};

use marigoldlock_fleet::site::PlatformSite;
use marigoldlock_standin::site::{SITE_KEY, UpstreamStandin};
use reqwest::Response;

/// A [`PlatformSite`] with helpers for tests.
pub struct Site(PlatformSite);

impl Deref for Site {
    type Target = PlatformSite;

    fn deref(&self) -> &PlatformSite {
        &self.0
    }
}

impl DerefMut for Site {
    fn deref_mut(&mut self) -> &mut PlatformSite {
        &mut self.0
    }
}

impl Site {
    /// Starts a site and waits until all its instances serve and know each other.
    pub async fn start(instances: usize) -> Self {
        marigoldlock::logging::init("off");
        Self(PlatformSite::start(instances).await.unwrap())
    }

    /// Returns the upstream with the given id.
    pub fn runner(&self, id: &str) -> &UpstreamStandin {
        self.upstreams.iter().find(|runner| runner.id() == id).unwrap()
    }

    /// Sends a request to an instance, with the customer's key.
    pub async fn send(&self, instance: usize, path: &str, attempt: &str) -> Response {
        self.send_as(instance, path, attempt, SITE_KEY).await
    }

    /// Sends a request with the given key.
    pub async fn send_as(&self, instance: usize, path: &str, attempt: &str, key: &str) -> Response {
        let front = self.instances[instance].addresses().front;
        self.caller.send_as(front, path, attempt, key).await.unwrap()
    }

    /// Returns the addresses that an instance advertises to callers.
    pub async fn resolve(&self, instance: usize) -> Vec<String> {
        let directory = self.instances[instance].addresses().directory.unwrap();
        self.caller.resolve(directory).await.unwrap()
    }
}

/// Waits until a condition holds, and panics after a timeout.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    marigoldlock_fleet::site::until(what, holds).await.unwrap();
}

/// Returns the ids of the events in a stream's body.
pub fn event_ids(body: &str) -> Vec<u64> {
    body.lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .map(|id| id.parse().unwrap())
        .collect()
}
