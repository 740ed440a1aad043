//! The two existing deployments, with their services, customers and data centres.

use clap::ValueEnum;
use derive_more::Display;
use marigoldlock_core::keys::hash_key;
use marigoldlock_standin::prelude::*;
use marigoldlock_wire::prelude::*;

use super::FleetOptions;

/// Name of a deployment.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, ValueEnum)]
pub enum DeploymentName {
    /// Shelter Campaign Copy Desk.
    #[default]
    #[display("pest")]
    Pest,
    /// Design Review Routing.
    #[display("scl")]
    Chile,
}

/// Services, customers and data centres of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Short name and prefix of the instances' names.
    pub name: DeploymentName,
    /// Team that owns the services and customers.
    pub team: &'static str,
    /// Chat service, run by the model engines.
    pub chat: ServiceId,
    /// Model that the engines serve.
    pub model: ModelId,
    /// Plain service.
    pub plain: ServiceId,
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Current number of model engines.
    pub engines: usize,
    /// Current number of upstreams of the plain service.
    pub services: usize,
    /// Customers with their weights.
    pub customers: Vec<(&'static str, f64)>,
    /// Weights of goodput, the worst-served customer and cost in the fleet's objective.
    pub weights: (f64, f64, f64),
}

impl Deployment {
    /// Returns the deployment with the given name.
    pub fn named(name: DeploymentName) -> Self {
        match name {
            DeploymentName::Pest => Self::pest(),
            DeploymentName::Chile => Self::chile(),
        }
    }

    /// Shelter Campaign Copy Desk, in the Pest region.
    pub fn pest() -> Self {
        Self {
            name: DeploymentName::Pest,
            team: "copydesk",
            chat: "copydesk-llm".into(),
            model: "copydesk-8b".into(),
            plain: "booking-app".into(),
            data_centres: ["pest-a", "pest-b", "pest-c"].map(DataCentre::from).to_vec(),
            engines: 12,
            services: 3,
            customers: vec![
                ("dairy-north", 4.0),
                ("dairy-south", 4.0),
                ("tram-lines", 3.0),
                ("city-theatre", 1.0),
                ("book-fair", 1.0),
                ("river-tours", 1.0),
                ("bakers-guild", 1.0),
                ("chess-club", 1.0),
            ],
            weights: (1.0, 1.0, 0.2),
        }
    }

    /// Design Review Routing, in the Chile-central region.
    pub fn chile() -> Self {
        Self {
            name: DeploymentName::Chile,
            team: "diseno",
            chat: "lienzo-lm".into(),
            model: "lienzo-12b".into(),
            plain: "taller-api".into(),
            data_centres: ["scl-a", "scl-b", "scl-c", "scl-d"]
                .map(DataCentre::from)
                .to_vec(),
            engines: 9,
            services: 4,
            customers: vec![
                ("metro-buses", 4.0),
                ("clinic-vans", 4.0),
                ("school-routes", 3.0),
                ("port-trucks", 1.0),
                ("mail-bikes", 1.0),
                ("fire-brigade", 1.0),
                ("valley-taxis", 1.0),
                ("museum-shuttle", 1.0),
            ],
            weights: (0.5, 0.5, 1.0),
        }
    }

    /// Returns the key of a customer in an embedded fleet.
    pub fn key(&self, customer: &str) -> String {
        format!("mgl_embedded_{}_{customer}", self.name)
    }

    /// Returns the paths and bodies of the deployment's settings.
    pub fn settings(&self) -> Vec<(String, String)> {
        let team = format!("teams/{}", self.team);
        let (goodput, worst, cost) = self.weights;
        let mut changes = vec![
            (
                "fleet/weights".to_owned(),
                format!("goodput = {goodput:?}\nworst_served = {worst:?}\ncost = {cost:?}\n"),
            ),
            (
                format!("{team}/services/{}", self.chat),
                format!("kind = \"chat\"\nmodels = [\"{}\"]\n", self.model),
            ),
            (
                format!("{team}/services/{}", self.plain),
                "kind = \"plain\"\nrepeatable = false\ndefault_class = \"interactive\"\nanswer_timeout_ms = 5000\nprogress_timeout_ms = 5000\n"
                    .to_owned(),
            ),
        ];
        for (customer, weight) in &self.customers {
            changes.push((
                format!("{team}/customers/{customer}"),
                format!("weight = {weight:?}\n"),
            ));
            let hash = hash_key(&self.key(customer));
            let body = format!("hash = \"{hash}\"\ncustomer = \"{customer}\"\n");
            changes.push((format!("{team}/keys/{customer}-1"), body));
        }
        changes
    }

    /// Returns the templates from which the upstreams of each service are started.
    pub(super) fn templates(&self, options: &FleetOptions) -> [(ServiceId, UpstreamTemplate); 2] {
        let engine = EngineOptions {
            models: vec![self.model.clone()],
            ..options.engine.clone()
        };
        [
            (self.chat.clone(), UpstreamTemplate::Engine(Box::new(engine))),
            (
                self.plain.clone(),
                UpstreamTemplate::Service(Box::new(options.service.clone())),
            ),
        ]
    }
}
