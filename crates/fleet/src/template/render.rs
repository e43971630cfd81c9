//! Fills in a document's templates and puts the parts together.

use std::collections::BTreeMap;

use serde_json::Map;
use serde_json::Value;

use super::Document;
use super::Problem;
use super::Template;
use super::Use;
use crate::config::Organisation;

/// How deep a body may be nested.
const DEPTH: usize = 32;

impl Document {
    /// Fills in every use and puts the parts together.
    pub fn render(&self) -> Result<Organisation, Vec<Problem>> {
        let mut whole = Map::new();
        let mut problems = Vec::new();
        for (name, filled) in &self.uses {
            match self.fill(name, filled) {
                Ok(part) => merge(&mut whole, part, &format!("uses.{name}"), &mut problems),
                Err(found) => problems.extend(found),
            }
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        let rendered = serde_path_to_error::deserialize(Value::Object(whole));
        rendered.map_err(|error| {
            let path = format!("{}.{}", self.organisation, error.path());
            let remedy = "correct the body of the template that makes this item";
            vec![Problem::error(path, error.inner().to_string(), remedy)]
        })
    }

    fn fill(&self, name: &str, filled: &Use) -> Result<Map<String, Value>, Vec<Problem>> {
        let Some(template) = self.templates.get(&filled.template) else {
            let known: Vec<_> = self.templates.keys().collect();
            return Err(vec![Problem::error(
                format!("uses.{name}.template"),
                format!("there is no template \"{}\"", filled.template),
                format!("give one of {known:?}"),
            )]);
        };
        let values = values(name, filled, template)?;
        let path = format!("templates.{}.body", filled.template);
        let body =
            substitute(&template.body, &values, &path, 0).map_err(|problem| vec![problem])?;
        let Value::Object(part) = body else {
            return Err(vec![Problem::error(path, "the body is no object", "write it as {…}")]);
        };
        let allowed = template.kind.fields();
        match part.keys().find(|field| !allowed.contains(&field.as_str())) {
            None => Ok(part),
            Some(field) => Err(vec![Problem::error(
                format!("{path}.{field}"),
                format!("a template of kind {} makes no {field}", template.kind),
                format!("keep to {allowed:?} or change the kind"),
            )]),
        }
    }
}

type Values = BTreeMap<String, Value>;

fn values(name: &str, filled: &Use, template: &Template) -> Result<Values, Vec<Problem>> {
    let mut values = BTreeMap::from([("name".to_owned(), Value::from(name))]);
    let mut problems = Vec::new();
    for given in filled.with.keys() {
        if !template.parameters.contains_key(given) {
            let known: Vec<_> = template.parameters.keys().collect();
            problems.push(Problem::error(
                format!("uses.{name}.with.{given}"),
                format!("template \"{}\" has no parameter \"{given}\"", filled.template),
                format!("give one of {known:?}"),
            ));
        }
    }
    for (parameter, spec) in &template.parameters {
        let path = format!("uses.{name}.with.{parameter}");
        let value = filled.with.get(parameter).or(spec.default.as_ref());
        match value.map(|value| (value, spec.violation(value))) {
            None => problems.push(Problem::error(
                path,
                "it has no value and no default",
                format!("give a {}", spec.kind),
            )),
            Some((_, Some((what, remedy)))) => problems.push(Problem::error(path, what, remedy)),
            Some((value, None)) => {
                values.insert(parameter.clone(), value.clone());
            }
        }
    }
    if problems.is_empty() { Ok(values) } else { Err(problems) }
}

fn substitute(body: &Value, values: &Values, path: &str, depth: usize) -> Result<Value, Problem> {
    if depth > DEPTH {
        return Err(Problem::error(path, "nested too deep", format!("keep to {DEPTH} levels")));
    }
    match body {
        Value::String(text) => substitute_text(text, values, path),
        Value::Array(items) => {
            let filled = items.iter().map(|item| substitute(item, values, path, depth + 1));
            Ok(Value::Array(filled.collect::<Result<_, _>>()?))
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
    let mut filled = Map::new();
    for (field, value) in fields {
        let path = format!("{path}.{field}");
        let field = match substitute_text(field, values, &path)? {
            Value::String(text) => text,
            other => other.to_string(),
        };
        let value = substitute(value, values, &path, depth + 1)?;
        if filled.insert(field.clone(), value).is_some() {
            let what = format!("\"{field}\" stands twice once the parameters are filled in");
            return Err(Problem::error(path, what, "give them different names"));
        }
    }
    Ok(Value::Object(filled))
}

fn substitute_text(text: &str, values: &Values, path: &str) -> Result<Value, Problem> {
    let whole = text.strip_prefix("${").and_then(|rest| rest.strip_suffix('}'));
    if let Some(parameter) = whole.filter(|name| !name.contains('}')) {
        return lookup(parameter, values, path).cloned();
    }
    let mut filled = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("${") {
        let Some((parameter, after)) = after.split_once('}') else {
            return Err(Problem::error(
                path,
                format!("\"{text}\" opens ${{ and never closes it"),
                "add the }",
            ));
        };
        filled.push_str(before);
        match lookup(parameter, values, path)? {
            Value::String(text) => filled.push_str(text),
            other => filled.push_str(&other.to_string()),
        }
        rest = after;
    }
    filled.push_str(rest);
    Ok(Value::String(filled))
}

fn lookup<'values>(
    parameter: &str,
    values: &'values Values,
    path: &str,
) -> Result<&'values Value, Problem> {
    values.get(parameter).ok_or_else(|| {
        let known: Vec<_> = values.keys().collect();
        let what = format!("\"{parameter}\" is no parameter of this template");
        Problem::error(path, what, format!("declare it, or use one of {known:?}"))
    })
}

/// Puts `part` into `whole`; items of one name from two uses are a problem.
fn merge(
    whole: &mut Map<String, Value>,
    part: Map<String, Value>,
    path: &str,
    problems: &mut Vec<Problem>,
) {
    for (field, value) in part {
        let Value::Object(items) = value else {
            merge_single(whole, field, value, path, problems);
            continue;
        };
        let known = whole.entry(field.clone()).or_insert_with(|| Value::Object(Map::new()));
        let Value::Object(known) = known else { continue };
        for (name, item) in items {
            if known.contains_key(&name) {
                problems.push(twice(path, &format!("{field}.{name}")));
            } else {
                known.insert(name, item);
            }
        }
    }
}

fn merge_single(
    whole: &mut Map<String, Value>,
    field: String,
    value: Value,
    path: &str,
    problems: &mut Vec<Problem>,
) {
    if whole.contains_key(&field) {
        problems.push(twice(path, &field));
    } else {
        whole.insert(field, value);
    }
}

fn twice(path: &str, item: &str) -> Problem {
    let what = format!("another use makes {item} already");
    Problem::error(path, what, "remove one of the two, or give them different names")
}
