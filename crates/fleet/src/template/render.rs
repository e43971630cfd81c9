//! Renders the templates of a document and merges the results.

use std::collections::BTreeMap;

use serde_json::Map;
use serde_json::Value;

use super::Document;
use super::Problem;
use super::Template;
use super::Use;
use crate::config::Organisation;

/// Maximum nesting depth of a template body.
const MAX_DEPTH: usize = 32;

impl Document {
    /// Renders every use and merges the results into one organisation.
    pub fn render(&self) -> Result<Organisation, Vec<Problem>> {
        let mut merged = Map::new();
        let mut problems = Vec::new();
        for (name, template_use) in &self.uses {
            match self.render_use(name, template_use) {
                Ok(part) => merge(&mut merged, part, &format!("uses.{name}"), &mut problems),
                Err(found) => problems.extend(found),
            }
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        let rendered = serde_path_to_error::deserialize(Value::Object(merged));
        rendered.map_err(|error| {
            let path = format!("{}.{}", self.organisation, error.path());
            let remedy = "correct the body of the template that defines this item";
            vec![Problem::error(path, error.inner().to_string(), remedy)]
        })
    }

    /// Renders one use to the fields of an organisation.
    fn render_use(
        &self,
        name: &str,
        template_use: &Use,
    ) -> Result<Map<String, Value>, Vec<Problem>> {
        let Some(template) = self.templates.get(&template_use.template) else {
            let known: Vec<_> = self.templates.keys().collect();
            return Err(vec![Problem::error(
                format!("uses.{name}.template"),
                format!("there is no template \"{}\"", template_use.template),
                format!("give one of {known:?}"),
            )]);
        };
        let values = parameter_values(name, template_use, template)?;
        let path = format!("templates.{}.body", template_use.template);
        let body =
            substitute(&template.body, &values, &path, 0).map_err(|problem| vec![problem])?;
        let Value::Object(part) = body else {
            return Err(vec![Problem::error(
                path,
                "the body is not a JSON object",
                "write it as {…}",
            )]);
        };
        let allowed = template.kind.fields();
        match part.keys().find(|field| !allowed.contains(&field.as_str())) {
            None => Ok(part),
            Some(field) => Err(vec![Problem::error(
                format!("{path}.{field}"),
                format!("a template of kind {} can't contain {field}", template.kind),
                format!("use only {allowed:?}, or change the kind"),
            )]),
        }
    }
}

/// Values of a template's parameters, by name.
type Values = BTreeMap<String, Value>;

/// Determines and validates the value of each parameter of `template` for the use `name`.
fn parameter_values(
    name: &str,
    template_use: &Use,
    template: &Template,
) -> Result<Values, Vec<Problem>> {
    let mut values = BTreeMap::from([("name".to_owned(), Value::from(name))]);
    let mut problems = Vec::new();
    for given in template_use.with.keys() {
        if !template.parameters.contains_key(given) {
            let known: Vec<_> = template.parameters.keys().collect();
            problems.push(Problem::error(
                format!("uses.{name}.with.{given}"),
                format!("template \"{}\" has no parameter \"{given}\"", template_use.template),
                format!("give one of {known:?}"),
            ));
        }
    }
    for (parameter, spec) in &template.parameters {
        let path = format!("uses.{name}.with.{parameter}");
        let value = template_use.with.get(parameter).or(spec.default.as_ref());
        match value.map(|value| (value, spec.violation(value))) {
            None => problems.push(Problem::error(
                path,
                "the parameter has no value and no default",
                format!("give a value of type {}", spec.kind),
            )),
            Some((_, Some((what, remedy)))) => problems.push(Problem::error(path, what, remedy)),
            Some((value, None)) => {
                values.insert(parameter.clone(), value.clone());
            }
        }
    }
    if problems.is_empty() { Ok(values) } else { Err(problems) }
}

/// Replaces the placeholders in a JSON value, at nesting depth `depth` of the body.
fn substitute(body: &Value, values: &Values, path: &str, depth: usize) -> Result<Value, Problem> {
    if depth > MAX_DEPTH {
        return Err(Problem::error(
            path,
            "the body is nested too deeply",
            format!("use at most {MAX_DEPTH} levels"),
        ));
    }
    match body {
        Value::String(text) => substitute_text(text, values, path),
        Value::Array(items) => {
            let substituted = items.iter().map(|item| substitute(item, values, path, depth + 1));
            Ok(Value::Array(substituted.collect::<Result<_, _>>()?))
        }
        Value::Object(fields) => substitute_object(fields, values, path, depth),
        other => Ok(other.clone()),
    }
}

fn substitute_object(
    fields: &Map<String, Value>,
    values: &Values,
    path: &str,
    depth: usize,
) -> Result<Value, Problem> {
    let mut substituted = Map::new();
    for (field, value) in fields {
        let path = format!("{path}.{field}");
        let field = match substitute_text(field, values, &path)? {
            Value::String(text) => text,
            other => other.to_string(),
        };
        let value = substitute(value, values, &path, depth + 1)?;
        if substituted.insert(field.clone(), value).is_some() {
            let what =
                format!("the name \"{field}\" occurs twice after substitution of the parameters");
            return Err(Problem::error(path, what, "give them different names"));
        }
    }
    Ok(Value::Object(substituted))
}

/// Replaces the placeholders in a string. A string that is one placeholder takes the type of the
/// parameter's value.
fn substitute_text(text: &str, values: &Values, path: &str) -> Result<Value, Problem> {
    let inner = text.strip_prefix("${").and_then(|rest| rest.strip_suffix('}'));
    if let Some(parameter) = inner.filter(|name| !name.contains('}')) {
        return lookup(parameter, values, path).cloned();
    }
    let mut substituted = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("${") {
        let Some((parameter, after)) = after.split_once('}') else {
            return Err(Problem::error(
                path,
                format!("\"{text}\" contains ${{ without a closing }}"),
                "add the }",
            ));
        };
        substituted.push_str(before);
        match lookup(parameter, values, path)? {
            Value::String(text) => substituted.push_str(text),
            other => substituted.push_str(&other.to_string()),
        }
        rest = after;
    }
    substituted.push_str(rest);
    Ok(Value::String(substituted))
}

fn lookup<'values>(
    parameter: &str,
    values: &'values Values,
    path: &str,
) -> Result<&'values Value, Problem> {
    values.get(parameter).ok_or_else(|| {
        let known: Vec<_> = values.keys().collect();
        let what = format!("the template has no parameter \"{parameter}\"");
        Problem::error(path, what, format!("declare it, or use one of {known:?}"))
    })
}

/// Merges `part` into `merged`. Items of the same name from two uses are a problem.
fn merge(
    merged: &mut Map<String, Value>,
    part: Map<String, Value>,
    path: &str,
    problems: &mut Vec<Problem>,
) {
    for (field, value) in part {
        let Value::Object(items) = value else {
            merge_single(merged, field, value, path, problems);
            continue;
        };
        let known = merged.entry(field.clone()).or_insert_with(|| Value::Object(Map::new()));
        let Value::Object(known) = known else { continue };
        for (name, item) in items {
            if known.contains_key(&name) {
                problems.push(duplicate(path, &format!("{field}.{name}")));
            } else {
                known.insert(name, item);
            }
        }
    }
}

/// Merges a field that isn't a map of items.
fn merge_single(
    merged: &mut Map<String, Value>,
    field: String,
    value: Value,
    path: &str,
    problems: &mut Vec<Problem>,
) {
    if merged.contains_key(&field) {
        problems.push(duplicate(path, &field));
    } else {
        merged.insert(field, value);
    }
}

fn duplicate(path: &str, item: &str) -> Problem {
    let what = format!("another use already defines {item}");
    Problem::error(path, what, "remove one of the two, or give them different names")
}
