/*!
The OpenAPI document, with the schemas of the library's own types.
*/

use {
    dewspar::config::{
        AvailabilityBudgetSpec, JobSpec, Kind, MaintenanceWaveSpec, PoolSpec,
        ServiceSpec, TeamSpec,
    },
    schemars::{JsonSchema, schema_for},
    serde_json::{Map, Value, json},
};

/// Returns the document.
pub(super) fn document() -> Value {
    let mut schemas = Map::new();
    add::<TeamSpec>(&mut schemas, Kind::Team);
    add::<PoolSpec>(&mut schemas, Kind::Pool);
    add::<ServiceSpec>(&mut schemas, Kind::Service);
    add::<JobSpec>(&mut schemas, Kind::Job);
    add::<AvailabilityBudgetSpec>(&mut schemas, Kind::AvailabilityBudget);
    add::<MaintenanceWaveSpec>(&mut schemas, Kind::MaintenanceWave);
    let mut paths = Map::new();
    for kind in Kind::ALL {
        let one = format!("/v1/{kind}/{{name}}");
        paths.insert(one, item_calls(kind));
        paths.insert(format!("/v1/{kind}"), json!({ "get": list_call(kind) }));
    }
    for kind in ["Vm", "Task"] {
        let get = json!({
            "summary": format!("Reads {kind}s, which dewspar makes."),
            "responses": { "200": { "description": "the list" } },
        });
        paths.insert(format!("/v1/{kind}"), json!({ "get": get }));
    }
    paths.insert("/v1/resources".to_owned(), apply_call());
    paths.insert("/v1/watch".to_owned(), watch_call());
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "dewspar",
            "version": env!("CARGO_PKG_VERSION"),
            "license": { "name": "MIT OR Apache-2.0" },
        },
        "paths": paths,
        "components": {
            "schemas": schemas,
            "securitySchemes": {
                "token": { "type": "http", "scheme": "bearer" },
            },
        },
        "security": [{ "token": [] }],
    })
}

fn add<T: JsonSchema>(schemas: &mut Map<String, Value>, kind: Kind) {
    let spec = schema_for!(T).to_value();
    let schema = json!({
        "type": "object",
        "required": ["kind", "name", "spec"],
        "properties": {
            "kind": { "const": kind.as_str() },
            "name": { "type": "string", "maxLength": 63 },
            "revision": {
                "type": "integer",
                "description": "the revision the writer read; 0 takes any",
            },
            "spec": spec,
            "status": { "type": "object", "readOnly": true },
        },
    });
    schemas.insert(kind.as_str().to_owned(), schema);
}

fn reference(kind: Kind) -> Value {
    let schema =
        json!({ "$ref": format!("#/components/schemas/{}", kind.as_str()) });
    json!({ "application/json": { "schema": schema } })
}

fn name_parameter() -> Value {
    json!([{
        "name": "name", "in": "path", "required": true,
        "schema": { "type": "string" },
    }])
}

fn item_calls(kind: Kind) -> Value {
    let body = reference(kind);
    let refused = json!({ "description": "not valid; names the field" });
    let conflict = json!({ "description": "changed; names both revisions" });
    json!({
        "parameters": name_parameter(),
        "get": {
            "summary": format!("Reads a {kind} with its status."),
            "responses": {
                "200": { "description": "found", "content": body.clone() },
                "404": { "description": "there is none" },
            },
        },
        "put": {
            "summary": format!("Creates or replaces a {kind}."),
            "requestBody": { "required": true, "content": body.clone() },
            "responses": {
                "200": { "description": "accepted", "content": body },
                "409": conflict.clone(),
                "422": refused,
            },
        },
        "delete": {
            "summary": format!("Removes a {kind}."),
            "responses": {
                "200": { "description": "accepted" },
                "404": { "description": "there is none" },
                "409": conflict,
            },
        },
    })
}

fn list_call(kind: Kind) -> Value {
    json!({
        "summary": format!("Lists every {kind} with its status."),
        "responses": { "200": { "description": "the list" } },
    })
}

fn apply_call() -> Value {
    json!({ "put": {
        "summary": "Creates or replaces several resources, all or none.",
        "requestBody": {
            "required": true,
            "content": { "application/yaml": {} },
        },
        "responses": {
            "200": { "description": "accepted" },
            "409": { "description": "changed; names both revisions" },
            "422": { "description": "not valid; names the field" },
        },
    } })
}

fn watch_call() -> Value {
    json!({ "get": {
        "summary": "Streams changes after a revision, one object a line.",
        "parameters": [
            {
                "name": "from", "in": "query",
                "schema": { "type": "integer" },
            },
            { "name": "kind", "in": "query", "schema": { "type": "string" } },
        ],
        "responses": {
            "200": { "description": "the stream" },
            "410": { "description": "too long ago: list, then watch" },
        },
    } })
}
