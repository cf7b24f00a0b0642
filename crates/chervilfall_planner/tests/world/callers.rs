//! Callers that send requests to the holder.

use chervilfall_planner::{Answer, Event, JobId, JobSpec, Queue, ReplyTo, Request, Step};

use super::World;

impl World {
    /// Sends a request to the holder and returns the holder and the request's number.
    pub fn request(&mut self, request: Request) -> Option<(usize, u64)> {
        let node = self.holder()?;
        self.next_request += 1;
        let number = self.next_request;
        let to = ReplyTo { node: 0, number };
        self.handle_event(node, Event::Request { to, request });
        Some((node, number))
    }

    /// Sends a request to a node and returns its answer if it is immediate.
    pub fn request_to_node(&mut self, node: usize, request: Request) -> Option<Answer> {
        self.next_request += 1;
        let number = self.next_request;
        let to = ReplyTo { node: 0, number };
        self.handle_event(node, Event::Request { to, request });
        self.nodes[node].replies.get(&number).copied()
    }

    /// Submits a job and waits for the answer.
    pub fn submit(&mut self, id: u64, spec: JobSpec) -> Answer {
        self.submit_for(None, id, spec)
    }

    /// Submits a job for a client account and waits for the answer.
    pub fn submit_for(&mut self, account: Option<&str>, id: u64, spec: JobSpec) -> Answer {
        let id = JobId(id);
        self.jobs.insert(id, spec.clone());
        let queue = self.queue.clone();
        self.standstill.note_submission(id, &queue, account);
        let answer = self.ask(Request::Submit {
            queue,
            id,
            spec,
            wait_ms: 700,
            account: account.map(str::to_owned),
        });
        match answer {
            Answer::Accepted => {
                self.accepted.insert(id);
            }
            Answer::Refused { .. } => {
                self.refused.insert(id);
            }
            _ => {}
        }
        answer
    }

    /// Submits a job of one step to a queue without waiting for the answer.
    pub fn hand_in(&mut self, queue: &Queue, id: u64, step: Step, wait_ms: u64) {
        let spec = JobSpec {
            spec: "text".to_owned(),
            steps: vec![step],
            ..JobSpec::default()
        };
        self.hand_in_job(queue, id, spec, wait_ms);
    }

    /// Submits a job to a queue without waiting for the answer.
    pub fn hand_in_job(&mut self, queue: &Queue, id: u64, spec: JobSpec, wait_ms: u64) {
        let id = JobId(id);
        self.jobs.insert(id, spec.clone());
        self.request(Request::Submit {
            queue: queue.clone(),
            id,
            spec,
            wait_ms,
            account: None,
        });
    }

    /// Sends a request to the holder and waits for the answer.
    pub fn ask(&mut self, request: Request) -> Answer {
        let Some((node, number)) = self.request(request) else {
            return Answer::Refused { retry_ms: 0 };
        };
        for _ in 0..400 {
            if let Some(answer) = self.nodes[node].replies.get(&number) {
                return *answer;
            }
            self.run(5);
        }
        Answer::Undecided
    }
}
