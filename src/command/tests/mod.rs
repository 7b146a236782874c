mod line;
mod reports;
