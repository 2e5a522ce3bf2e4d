//! Validation of configurations and matching of routes.

use std::sync::Arc;

use azuregate_core::balance::{Config, ConfigParts, Route};

use crate::fixtures::{config, service};

fn parts(routes: &[(&str, &str)]) -> ConfigParts {
    let config = config();
    let route = |prefix: &str| {
        let base = Route::clone(config.route("shop.example", "/").unwrap());
        Route { prefix: prefix.to_owned(), name: prefix.to_owned(), ..base }
    };
    ConfigParts {
        version: 2,
        limits: config.limits(),
        services: [(service(), config.service(&service()).unwrap().clone())].into(),
        routes: routes
            .iter()
            .map(|(host, prefix)| (host.to_string(), Arc::new(route(prefix))))
            .collect(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes =
        [("a.example", "/"), ("a.example", "/x/"), ("a.example", "/x/y/"), ("b.example", "/z/")];
    let config = Config::new(parts(&routes)).unwrap();
    let cases = [
        ("a.example", "/", Some("/")),
        ("a.example", "/x", Some("/")),
        ("a.example", "/x/", Some("/x/")),
        ("a.example", "/x/y/z", Some("/x/y/")),
        ("A.Example:8080", "/x/1", Some("/x/")),
        ("b.example", "/x/", None),
        ("c.example", "/", None),
    ];
    for (host, path, expected) in cases {
        let found = config.route(host, path).map(|route| route.prefix.as_str());
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn inconsistent_configurations_are_rejected() {
    type Change = fn(&mut ConfigParts);
    fn change_route(parts: &mut ConfigParts, change: impl FnOnce(&mut Route)) {
        change(Arc::make_mut(&mut parts.routes[0].1));
    }
    let cases: [(&str, Change); 6] = [
        ("service shop is not defined", |parts| parts.services.clear()),
        ("slash", |parts| change_route(parts, |route| route.prefix = "/x".to_owned())),
        ("slash", |parts| change_route(parts, |route| route.prefix = "x/".to_owned())),
        ("attempts must be at least 1", |parts| change_route(parts, |route| route.attempts = 0)),
        ("weights", |parts| change_route(parts, |route| route.destinations[0].weight = 0.0)),
        ("two routes for a.example/x/", |parts| parts.routes.push(parts.routes[0].clone())),
    ];
    for (problem, change) in cases {
        let mut parts = parts(&[("a.example", "/x/")]);
        change(&mut parts);
        let e = Config::new(parts).unwrap_err().to_string();
        assert!(e.contains(problem), "{e}");
    }
}
