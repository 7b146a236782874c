mod fleet;
mod limit;
